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
        final Rig.Plan plan = new Rig.Plan();
        final Rig rig;
        final Map<String, WorkerInfo> listed = new HashMap<>();
        final Map<String, Long> unusableSince = new HashMap<>();
        final Map<Long, Request> asked = new HashMap<>();
        final Map<Long, List<Try>> tries = new HashMap<>();
        final List<Try> out = new ArrayList<>();
        int seen;
        long nextId = 1;

        private static final class Try {
            final Rig.Send send;
            final WorkerInfo worker;
            boolean ended;
            boolean neverRan;

            Try(Rig.Send send, WorkerInfo worker) {
                this.send = send;
                this.worker = worker;
            }
        }

        Day(long seed) {
            dice = new SplittableRandom(seed);
            plan.seed = seed;
            plan.zones = 1 + dice.nextInt(3);
            plan.peers = 1 + dice.nextInt(4);
            plan.parallel = dice.nextBoolean();
            plan.tellsStart = dice.nextBoolean();
            plan.classes = List.of(
                    Rig.jobClass(Effect.SAFE, Group.ALL),
                    Rig.jobClass(Effect.UNSAFE, Group.ALL),
                    Rig.jobClass(Effect.KEYED, Group.values()[dice.nextInt(3)]));
            rig = new Rig(plan.settings());
            for (int i = 0; i < 12; i++) {
                put("w" + i, WorkerState.IN_SERVICE, 0);
            }
            rig.module.workers(rig.now, ListKind.WARM_COPY, List.copyOf(listed.values()));
        }

        WorkerInfo put(String address, WorkerState state, long startedAt) {
            WorkerInfo old = listed.get(address);
            int zone = old == null ? dice.nextInt(plan.zones) : old.zone();
            int cell = old == null ? 10 * zone + dice.nextInt(2) : old.cell();
            WorkerInfo w = new WorkerInfo(address, state, 0, zone, startedAt, cell);
            listed.put(address, w);
            if (state == WorkerState.IN_SERVICE) {
                unusableSince.remove(address);
            } else {
                unusableSince.putIfAbsent(address, rig == null ? 0 : rig.now);
            }
            return w;
        }

        void play(int steps) {
            for (int i = 0; i < steps; i++) {
                event();
                check();
                rig.run(STEP);
                check();
                expire();
            }
            for (int i = 0; i < 6_000_000 / STEP; i++) { // quiet end: everything must have its answer
                rig.run(STEP);
                check();
                expire();
            }
            for (long id : asked.keySet()) {
                assertTrue(rig.finals.containsKey(id), "request " + id + " has no answer");
            }
        }

        void event() {
            int what = dice.nextInt(100);
            if (what < 45) {
                long within = dice.nextInt(8) == 0 ? 1 + dice.nextLong(100_000) : 5_000_000;
                Request q = new Request(nextId++, dice.nextInt(3), -1, rig.now + within, 1, dice.nextInt(5) == 0);
                asked.put(q.id(), q);
                rig.module.request(rig.now, q);
            } else if (what < 85 && !out.isEmpty()) {
                Try t = out.get(dice.nextInt(out.size()));
                Outcome[] all = Outcome.values();
                end(t, dice.nextInt(3) > 0 ? Outcome.OK : all[dice.nextInt(all.length)]);
            } else if (what < 88) {
                WorkerInfo w = put("w" + dice.nextInt(14), WorkerState.values()[dice.nextInt(3)], 0);
                rig.change(w);
            } else if (what < 90) {
                rig.change(put("w" + dice.nextInt(14), WorkerState.IN_SERVICE, rig.now - dice.nextLong(500_000)));
            } else if (what < 93) {
                PeerMessage m = new PeerMessage(
                        PeerMessage.Type.values()[dice.nextInt(2)],
                        dice.nextInt(plan.zones),
                        dice.nextDouble(),
                        dice.nextDouble(),
                        20,
                        50_000);
                for (int k = 0; k < 4; k++) {
                    m.add(new Book.Worker("w" + dice.nextInt(14), 0).hash, dice.nextInt(4));
                }
                rig.module.peerMessage(rig.now, dice.nextInt(plan.peers), m.bytes());
            } else if (what < 95) {
                rig.report("w" + dice.nextInt(14), dice.nextInt(5));
            } else if (what < 97 && !out.isEmpty()) {
                Try t = out.get(dice.nextInt(out.size()));
                rig.module.note(rig.now, t.send.id(), t.send.attempt(), dice.nextBoolean());
            } else if (!asked.isEmpty()) {
                long id = 1 + dice.nextLong(nextId - 1);
                if (!rig.finals.containsKey(id)) {
                    rig.finals.put(id, "left");
                    rig.module.clientGone(rig.now, id);
                }
            }
        }

        void end(Try t, Outcome outcome) {
            out.remove(t);
            t.ended = true;
            t.neverRan = outcome.neverRan;
            boolean over = rig.finals.containsKey(t.send.id());
            if (outcome == Outcome.OK && !over) {
                rig.finals.put(t.send.id(), "served");
                over = true;
            }
            rig.module.attemptEnded(rig.now, t.send.id(), t.send.attempt(), outcome, rig.now - t.send.at(), over, null);
        }

        /** Attempts time out at the client's deadline; by then each request needs its answer. */
        void expire() {
            for (Try t : List.copyOf(out)) {
                if (rig.now >= asked.get(t.send.id()).validUntil()) {
                    end(t, Outcome.TIMEOUT);
                    check();
                }
            }
            for (Request q : asked.values()) {
                assertTrue(rig.now < q.validUntil() || rig.finals.containsKey(q.id()), "late answer to " + q.id());
            }
        }

        void check() {
            for (; seen < rig.sends.size(); seen++) {
                Rig.Send s = rig.sends.get(seen);
                WorkerInfo w = listed.get(s.worker());
                Request q = asked.get(s.id());
                Contract.JobClass spec = plan.classes.get(q.jobClass());
                List<Try> before = tries.computeIfAbsent(s.id(), k -> new ArrayList<>());
                assertEquals(WorkerState.IN_SERVICE, w.state(), "sent to " + w);
                assertTrue(before.size() < plan.maxAttempts);
                for (Try t : before) {
                    assertTrue(t.ended || plan.parallel, "two at once");
                    if (t.ended && t.neverRan) {
                        continue;
                    }
                    assertTrue(spec.effect() != Effect.UNSAFE, "an unsafe request again");
                    if (spec.effect() == Effect.KEYED) {
                        assertTrue(Book.sameGroup(spec.group(), new Place(t.worker).worker, new Place(w).worker));
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
            Contract.JobClass spec = plan.classes.get(asked.get(id).jobClass());
            if (!"refused".equals(rig.finals.get(id))
                    || spec.effect() == Effect.SAFE
                    || spec.effect() == Effect.KEYED && spec.group() == Group.ALL) {
                return;
            }
            for (Try t : tries.getOrDefault(id, List.of())) {
                assertTrue(t.ended && t.neverRan, "refused though it may have run: " + id);
            }
        }

        private record Place(Book.Worker worker) {
            Place(WorkerInfo w) {
                this(new Book.Worker(w.address(), 0));
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
            sends += day.rig.sends.size();
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
            assertEquals(one.rig.trace, two.rig.trace);
        }
    }
}
