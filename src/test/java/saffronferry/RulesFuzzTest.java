package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/**
 * Random sequences of every event of the contract, from a seed. Checked are the first three rules: on sending a request
 * again, on refusing it, and on its one answer in time.
 */
class RulesFuzzTest {
    private static final long STEP_US = 2_000;

    /** One random sequence, and what is needed to check the rules. */
    private static final class RandomRun {
        final SplittableRandom random;
        final DispatcherHarness.Options options = new DispatcherHarness.Options();
        final DispatcherHarness harness;
        final Map<String, WorkerInfo> listed = new HashMap<>();
        final Map<String, Long> notInServiceSince = new HashMap<>();
        final Map<Long, Request> asked = new HashMap<>();
        final Map<Long, List<SentAttempt>> attempts = new HashMap<>();
        final List<SentAttempt> inFlight = new ArrayList<>();
        int checkedSends;
        long nextId = 1;

        private static final class SentAttempt {
            final DispatcherHarness.Send send;
            final WorkerInfo worker;
            boolean ended;
            boolean neverRan;

            SentAttempt(DispatcherHarness.Send send, WorkerInfo worker) {
                this.send = send;
                this.worker = worker;
            }
        }

        RandomRun(long seed) {
            random = new SplittableRandom(seed);
            options.seed = seed;
            options.zones = 1 + random.nextInt(3);
            options.peers = 1 + random.nextInt(4);
            options.parallel = random.nextBoolean();
            options.tellsStart = random.nextBoolean();
            options.classes = List.of(
                    DispatcherHarness.jobClass(Idempotency.SAFE, DedupScope.ALL),
                    DispatcherHarness.jobClass(Idempotency.UNSAFE, DedupScope.ALL),
                    DispatcherHarness.jobClass(Idempotency.KEYED, DedupScope.values()[random.nextInt(3)]));
            harness = new DispatcherHarness(options.settings());
            for (int i = 0; i < 12; i++) {
                put("w" + i, WorkerState.IN_SERVICE, 0);
            }
            harness.dispatcher.workerList(harness.now, ListKind.WARM_COPY, List.copyOf(listed.values()));
        }

        WorkerInfo put(String address, WorkerState state, long startedAt) {
            WorkerInfo old = listed.get(address);
            int zone = old == null ? random.nextInt(options.zones) : old.zone();
            int cell = old == null ? 10 * zone + random.nextInt(2) : old.cell();
            WorkerInfo w = new WorkerInfo(address, state, 0, zone, startedAt, cell);
            listed.put(address, w);
            if (state == WorkerState.IN_SERVICE) {
                notInServiceSince.remove(address);
            } else {
                notInServiceSince.putIfAbsent(address, harness == null ? 0 : harness.now);
            }
            return w;
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
                randomEvent();
                checkNewSends();
                harness.advance(STEP_US);
                checkNewSends();
                endExpired();
            }
            for (int i = 0; i < 6_000_000 / STEP_US; i++) { // no more events: every request must get its answer
                harness.advance(STEP_US);
                checkNewSends();
                endExpired();
            }
            for (long id : asked.keySet()) {
                assertTrue(harness.finals.containsKey(id), "request " + id + " has no answer");
            }
        }

        void randomEvent() {
            int event = random.nextInt(100);
            if (event < 45) {
                long within = random.nextInt(8) == 0 ? 1 + random.nextLong(100_000) : 5_000_000;
                Request q =
                        new Request(nextId++, random.nextInt(3), -1, harness.now + within, 1, random.nextInt(5) == 0);
                asked.put(q.id(), q);
                harness.dispatcher.request(harness.now, q);
            } else if (event < 85 && !inFlight.isEmpty()) {
                SentAttempt t = inFlight.get(random.nextInt(inFlight.size()));
                Outcome[] all = Outcome.values();
                end(t, random.nextInt(3) > 0 ? Outcome.OK : all[random.nextInt(all.length)]);
            } else if (event < 88) {
                WorkerInfo w = put("w" + random.nextInt(14), WorkerState.values()[random.nextInt(3)], 0);
                harness.change(w);
            } else if (event < 90) {
                harness.change(
                        put("w" + random.nextInt(14), WorkerState.IN_SERVICE, harness.now - random.nextLong(500_000)));
            } else if (event < 93) {
                PeerMessage m = new PeerMessage(
                        PeerMessage.Type.values()[random.nextInt(2)],
                        random.nextInt(options.zones),
                        random.nextDouble(),
                        random.nextDouble(),
                        20,
                        50_000);
                for (int k = 0; k < 4; k++) {
                    m.addSlots(new DispatcherState.Worker("w" + random.nextInt(14), 0).hash, random.nextInt(4));
                }
                harness.dispatcher.peerMessage(harness.now, random.nextInt(options.peers), m.encode());
            } else if (event < 95) {
                harness.report("w" + random.nextInt(14), random.nextInt(5));
            } else if (event < 97 && !inFlight.isEmpty()) {
                SentAttempt t = inFlight.get(random.nextInt(inFlight.size()));
                harness.dispatcher.jobProgress(harness.now, t.send.id(), t.send.attempt(), random.nextBoolean());
            } else if (!asked.isEmpty()) {
                long id = 1 + random.nextLong(nextId - 1);
                if (!harness.finals.containsKey(id)) {
                    harness.finals.put(id, "left");
                    harness.dispatcher.clientGone(harness.now, id);
                }
            }
        }

        void end(SentAttempt t, Outcome outcome) {
            inFlight.remove(t);
            t.ended = true;
            t.neverRan = outcome.neverRan;
            boolean over = harness.finals.containsKey(t.send.id());
            if (outcome == Outcome.OK && !over) {
                harness.finals.put(t.send.id(), "served");
                over = true;
            }
            harness.dispatcher.attemptEnded(
                    harness.now, t.send.id(), t.send.attempt(), outcome, harness.now - t.send.at(), over, null);
        }

        /** Ends attempts at the client's deadline, by which each request must have its answer. */
        void endExpired() {
            for (SentAttempt t : List.copyOf(inFlight)) {
                if (harness.now >= asked.get(t.send.id()).validUntil()) {
                    end(t, Outcome.TIMEOUT);
                    checkNewSends();
                }
            }
            for (Request q : asked.values()) {
                assertTrue(
                        harness.now < q.validUntil() || harness.finals.containsKey(q.id()), "late answer to " + q.id());
            }
        }

        void checkNewSends() {
            for (; checkedSends < harness.sends.size(); checkedSends++) {
                DispatcherHarness.Send s = harness.sends.get(checkedSends);
                WorkerInfo w = listed.get(s.worker());
                Request q = asked.get(s.id());
                Contract.JobClass spec = options.classes.get(q.jobClass());
                List<SentAttempt> before = attempts.computeIfAbsent(s.id(), k -> new ArrayList<>());
                assertEquals(WorkerState.IN_SERVICE, w.state(), "sent to " + w);
                assertTrue(before.size() < options.maxAttempts);
                for (SentAttempt t : before) {
                    assertTrue(t.ended || options.parallel, "two attempts at once");
                    if (t.ended && t.neverRan) {
                        continue;
                    }
                    assertTrue(spec.idempotency() != Idempotency.UNSAFE, "an unsafe request was sent again");
                    if (spec.idempotency() == Idempotency.KEYED) {
                        assertTrue(DispatcherState.sameGroup(
                                spec.dedupScope(), new PlacedWorker(t.worker).worker, new PlacedWorker(w).worker));
                        assertTrue(s.at() < t.send.at() + spec.keyTtl());
                    }
                }
                SentAttempt t = new SentAttempt(s, w);
                before.add(t);
                inFlight.add(t);
                checkRefusal(s.id());
            }
            for (long id : attempts.keySet()) {
                checkRefusal(id);
            }
        }

        private void checkRefusal(long id) {
            Contract.JobClass spec = options.classes.get(asked.get(id).jobClass());
            if (!"refused".equals(harness.finals.get(id))
                    || spec.idempotency() == Idempotency.SAFE
                    || spec.idempotency() == Idempotency.KEYED && spec.dedupScope() == DedupScope.ALL) {
                return;
            }
            for (SentAttempt t : attempts.getOrDefault(id, List.of())) {
                assertTrue(t.ended && t.neverRan, "refused though it may have run: " + id);
            }
        }

        /** A worker of {@link DispatcherState} with the zone and cell of a list entry. */
        private record PlacedWorker(DispatcherState.Worker worker) {
            PlacedWorker(WorkerInfo w) {
                this(new DispatcherState.Worker(w.address(), 0));
                worker.zone = w.zone();
                worker.cell = w.cell();
            }
        }
    }

    @Test
    void theFirstThreeRulesHoldInRandomRuns() {
        int sends = 0;
        for (long seed = 1; seed <= 60; seed++) {
            RandomRun randomRun = new RandomRun(seed);
            randomRun.run(1500);
            sends += randomRun.harness.sends.size();
        }
        assertTrue(sends > 5_000, "too few attempts to prove anything: " + sends);
    }

    @Test
    void equalEventsGiveEqualActions() {
        for (long seed = 100; seed < 105; seed++) {
            RandomRun one = new RandomRun(seed);
            RandomRun two = new RandomRun(seed);
            one.run(800);
            two.run(800);
            assertEquals(one.harness.trace, two.harness.trace);
        }
    }
}
