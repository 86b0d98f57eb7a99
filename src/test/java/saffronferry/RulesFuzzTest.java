package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/** Random days: every event that the contract knows, in a seeded order; the first three rules must hold. */
class RulesFuzzTest {
    private static final long STEP = 2_000;

    private static final class Day {
        final SplittableRandom dice;
        final DispatcherHarness.Options options = new DispatcherHarness.Options();
        final DispatcherHarness harness;
        final Map<String, WorkerInfo> listed = new HashMap<>();
        final Map<String, Long> unusableSince = new HashMap<>();
        final Map<Long, Request> asked = new HashMap<>();
        final Map<Long, List<Try>> tries = new HashMap<>();
        final List<Try> out = new ArrayList<>();
        int seen;
        long nextId = 1;

        private static final class Try {
            final DispatcherHarness.Send send;
            final WorkerInfo worker;
            boolean ended;
            boolean neverRan;

            Try(DispatcherHarness.Send send, WorkerInfo worker) {
                this.send = send;
                this.worker = worker;
            }
        }

        Day(long seed) {
            dice = new SplittableRandom(seed);
            options.seed = seed;
            options.zones = 1 + dice.nextInt(3);
            options.peers = 1 + dice.nextInt(4);
            options.parallel = dice.nextBoolean();
            options.tellsStart = dice.nextBoolean();
            options.classes = List.of(
                    DispatcherHarness.jobClass(Effect.SAFE, Group.ALL),
                    DispatcherHarness.jobClass(Effect.UNSAFE, Group.ALL),
                    DispatcherHarness.jobClass(Effect.KEYED, Group.values()[dice.nextInt(3)]));
            harness = new DispatcherHarness(options.settings());
            for (int i = 0; i < 12; i++) {
                put("w" + i, WorkerState.IN_SERVICE, 0);
            }
            harness.dispatcher.workers(harness.now, ListKind.WARM_COPY, List.copyOf(listed.values()));
        }

        WorkerInfo put(String address, WorkerState state, long startedAt) {
            WorkerInfo old = listed.get(address);
            int zone = old == null ? dice.nextInt(options.zones) : old.zone();
            int cell = old == null ? 10 * zone + dice.nextInt(2) : old.cell();
            WorkerInfo w = new WorkerInfo(address, state, 0, zone, startedAt, cell);
            listed.put(address, w);
            if (state == WorkerState.IN_SERVICE) {
                unusableSince.remove(address);
            } else {
                unusableSince.putIfAbsent(address, harness == null ? 0 : harness.now);
            }
            return w;
        }

        void play(int steps) {
            for (int i = 0; i < steps; i++) {
                event();
                check();
                harness.advance(STEP);
                check();
                expire();
            }
            for (int i = 0; i < 6_000_000 / STEP; i++) { // quiet end: everything must have its answer
                harness.advance(STEP);
                check();
                expire();
            }
            for (long id : asked.keySet()) {
                assertTrue(harness.finals.containsKey(id), "request " + id + " has no answer");
            }
        }

        void event() {
            int what = dice.nextInt(100);
            if (what < 45) {
                long within = dice.nextInt(8) == 0 ? 1 + dice.nextLong(100_000) : 5_000_000;
                Request q = new Request(nextId++, dice.nextInt(3), -1, harness.now + within, 1, dice.nextInt(5) == 0);
                asked.put(q.id(), q);
                harness.dispatcher.request(harness.now, q);
            } else if (what < 85 && !out.isEmpty()) {
                Try t = out.get(dice.nextInt(out.size()));
                Outcome[] all = Outcome.values();
                end(t, dice.nextInt(3) > 0 ? Outcome.OK : all[dice.nextInt(all.length)]);
            } else if (what < 88) {
                WorkerInfo w = put("w" + dice.nextInt(14), WorkerState.values()[dice.nextInt(3)], 0);
                harness.change(w);
            } else if (what < 90) {
                harness.change(put("w" + dice.nextInt(14), WorkerState.IN_SERVICE, harness.now - dice.nextLong(500_000)));
            } else if (what < 93) {
                Message m = new Message(
                        Message.Type.values()[dice.nextInt(2)],
                        dice.nextInt(options.zones),
                        dice.nextDouble(),
                        dice.nextDouble(),
                        20,
                        50_000);
                for (int k = 0; k < 4; k++) {
                    m.add(new DispatcherState.Worker("w" + dice.nextInt(14), 0).hash, dice.nextInt(4));
                }
                harness.dispatcher.peerMessage(harness.now, dice.nextInt(options.peers), m.bytes());
            } else if (what < 95) {
                harness.report("w" + dice.nextInt(14), dice.nextInt(5));
            } else if (what < 97 && !out.isEmpty()) {
                Try t = out.get(dice.nextInt(out.size()));
                harness.dispatcher.note(harness.now, t.send.id(), t.send.attempt(), dice.nextBoolean());
            } else if (!asked.isEmpty()) {
                long id = 1 + dice.nextLong(nextId - 1);
                if (!harness.finals.containsKey(id)) {
                    harness.finals.put(id, "left");
                    harness.dispatcher.clientGone(harness.now, id);
                }
            }
        }

        void end(Try t, Outcome outcome) {
            out.remove(t);
            t.ended = true;
            t.neverRan = outcome.neverRan;
            boolean over = harness.finals.containsKey(t.send.id());
            if (outcome == Outcome.OK && !over) {
                harness.finals.put(t.send.id(), "served");
                over = true;
            }
            harness.dispatcher.attemptEnded(harness.now, t.send.id(), t.send.attempt(), outcome, harness.now - t.send.at(), over, null);
        }

        /** Attempts time out at the client's deadline; by then each request needs its answer. */
        void expire() {
            for (Try t : List.copyOf(out)) {
                if (harness.now >= asked.get(t.send.id()).validUntil()) {
                    end(t, Outcome.TIMEOUT);
                    check();
                }
            }
            for (Request q : asked.values()) {
                assertTrue(harness.now < q.validUntil() || harness.finals.containsKey(q.id()), "late answer to " + q.id());
            }
        }

        void check() {
            for (; seen < harness.sends.size(); seen++) {
                DispatcherHarness.Send s = harness.sends.get(seen);
                WorkerInfo w = listed.get(s.worker());
                Request q = asked.get(s.id());
                Contract.JobClass spec = options.classes.get(q.jobClass());
                List<Try> before = tries.computeIfAbsent(s.id(), k -> new ArrayList<>());
                assertEquals(WorkerState.IN_SERVICE, w.state(), "sent to " + w);
                assertTrue(before.size() < options.maxAttempts);
                for (Try t : before) {
                    assertTrue(t.ended || options.parallel, "two at once");
                    if (t.ended && t.neverRan) {
                        continue;
                    }
                    assertTrue(spec.effect() != Effect.UNSAFE, "an unsafe request again");
                    if (spec.effect() == Effect.KEYED) {
                        assertTrue(DispatcherState.sameGroup(spec.group(), new Place(t.worker).worker, new Place(w).worker));
                        assertTrue(s.at() < t.send.at() + spec.keyTtl());
                    }
                }
                Try t = new Try(s, w);
                before.add(t);
                out.add(t);
                checkEnd(s.id());
            }
            for (long id : tries.keySet()) {
                checkEnd(id);
            }
        }

        private void checkEnd(long id) {
            Contract.JobClass spec = options.classes.get(asked.get(id).jobClass());
            if (!"refused".equals(harness.finals.get(id))
                    || spec.effect() == Effect.SAFE
                    || spec.effect() == Effect.KEYED && spec.group() == Group.ALL) {
                return;
            }
            for (Try t : tries.getOrDefault(id, List.of())) {
                assertTrue(t.ended && t.neverRan, "refused though it may have run: " + id);
            }
        }

        private record Place(DispatcherState.Worker worker) {
            Place(WorkerInfo w) {
                this(new DispatcherState.Worker(w.address(), 0));
                worker.zone = w.zone();
                worker.cell = w.cell();
            }
        }
    }

    @Test
    void theFirstThreeRulesHoldOnRandomDays() {
        int sends = 0;
        for (long seed = 1; seed <= 60; seed++) {
            Day day = new Day(seed);
            day.play(1500);
            sends += day.harness.sends.size();
        }
        assertTrue(sends > 5_000, "the days were too quiet to prove anything: " + sends);
    }

    @Test
    void equalEventsGiveEqualActions() {
        for (long seed = 100; seed < 105; seed++) {
            Day one = new Day(seed);
            Day two = new Day(seed);
            one.play(800);
            two.play(800);
            assertEquals(one.harness.trace, two.harness.trace);
        }
    }
}
