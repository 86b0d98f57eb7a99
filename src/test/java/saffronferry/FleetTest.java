package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saffronferry.fleet.Sharing;

class FleetTest {
    /** Guards against memory that grows with every release of the workers. */
    @Test
    void afterManyReleasesTheGoneAreForgotten() {
        Fleet fleet = new Fleet(1, 1, 0);
        for (int i = 0; i < 2000; i++) {
            Book.Worker w = new Book.Worker("w" + i, 0);
            w.state = i < 10 ? Contract.WorkerState.IN_SERVICE : Contract.WorkerState.GONE;
            fleet.byAddress.put(w.address, w);
        }
        fleet.forgetGone();
        assertEquals(10, fleet.byAddress.size());
    }

    /** Beside a fifth of the requests the sum of repeats does not grow with the fleet, but for a least part of each. */
    @Test
    void repeatsOfAFleetAreBounded() {
        for (int n : new int[] {1, 2, 4, 16, 100}) {
            RepeatBudget[] all = new RepeatBudget[n];
            int taken = 0;
            for (int i = 0; i < n; i++) {
                all[i] = new RepeatBudget(n);
                all[i].share(i % 2 + 1); // while two processes live each has half
                all[i].share(1);
                for (int t = 0; t < 100; t++) {
                    all[i].pass(0.1);
                    all[i].asked();
                    while (all[i].take()) {
                        taken++;
                    }
                }
            }
            double most = Math.max(100, 5 * n) + 10 * Math.max(20, n / 2.0) + 0.2 * 100 * n;
            assertTrue(taken <= most && taken >= Math.min(n, 4) * 50, n + " dispatchers: " + taken + " of " + most);
        }
    }

    /** What operators read of a fleet of four, of which one other of the zone is heard, and one elsewhere. */
    @Test
    void whatIsSharedIsTold() {
        Rig.Plan plan = new Rig.Plan();
        plan.peers = 4;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings());
        rig.list(Rig.worker("old"), Rig.worker("cold", 0, Contract.WorkerState.IN_SERVICE, rig.now - 1));
        assertEquals(Sharing.Fallback.ALONE, rig.module.sharing().fallback());
        assertEquals(0.25, rig.module.sharing().part());
        for (int peer : new int[] {1, 2}) {
            rig.module.peerMessage(rig.now, peer,
                    new Message(Message.Type.OFFERS, peer - 1, 1, 1, 1, 50 * Rig.MS).bytes());
        }
        Sharing s = rig.module.sharing();
        assertEquals(Sharing.Fallback.PARTS, s.fallback());
        assertEquals("4 3 2 1", s.peers() + " " + s.heard() + " " + s.counted() + " " + s.cold());
        assertTrue(s.guarded() == 0 || s.part() == 1 / 3.0, "one is elsewhere: " + s);
    }

    private static Fleet of(int workers) {
        Fleet fleet = new Fleet(1, 1, 0);
        for (int i = 0; i < workers; i++) {
            Book.Worker w = new Book.Worker("10.0.0." + i, 0);
            w.home = 0;
            w.ours = true;
            w.state = Contract.WorkerState.IN_SERVICE;
            fleet.byAddress.put(w.address, w);
        }
        fleet.arrange();
        return fleet;
    }

    @Test
    void everyWorkerIsFoundByItsHash() {
        Fleet fleet = of(20);
        for (Book.Worker w : fleet.byAddress.values()) {
            assertEquals(w, fleet.find(0, w.hash));
        }
    }

    /** As a walk over all of our own finds them, from any place on and round the end. */
    @Test
    void thoseWatchedAreMetInTheOrderOfTheRing() {
        Fleet fleet = of(50);
        fleet.gather();
        SplittableRandom dice = new SplittableRandom(1);
        for (int i = 0; i < 500; i++) {
            Book.Worker changed = fleet.ours[dice.nextInt(50)];
            changed.suspect = !changed.suspect;
            fleet.place(changed, true);
            int turn = dice.nextInt();
            int most = 1 + dice.nextInt(50);
            List<Book.Worker> walked = new ArrayList<>();
            for (int k = 0; k < most; k++) {
                Book.Worker w = fleet.ours[(Math.floorMod(turn, 50) + k) % 50];
                if (w.suspect) {
                    walked.add(w);
                }
            }
            assertEquals(walked, fleet.watched(turn, most));
        }
    }

    /** Guards against a worker that is gone and stands in the way of a new one at its address. */
    @Test
    void theGoneAreWatchedNoMore() {
        Fleet fleet = of(1);
        fleet.gather();
        Book.Worker old = fleet.ours[0];
        old.suspect = true;
        fleet.place(old, false);
        fleet.byAddress.remove(old.address);
        Book.Worker young = new Book.Worker(old.address, 0);
        young.home = 0;
        young.ours = true;
        young.state = Contract.WorkerState.IN_SERVICE;
        young.suspect = true;
        fleet.byAddress.put(young.address, young);
        fleet.arrange();
        fleet.gather();
        assertEquals(1, fleet.watched(0, 1).size());
        assertSame(young, fleet.watched(0, 1).get(0));
    }

    /** As a walk over the zone counts them, whatever became of workers meanwhile. */
    @Test
    void workersThatCountAreCounted() {
        Fleet fleet = new Fleet(2, 2, 1);
        SplittableRandom dice = new SplittableRandom(1);
        List<Book.Worker> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.add(new Book.Worker("10.0.0." + i, i % 3 - 1));
            fleet.byAddress.put(all.get(i).address, all.get(i));
        }
        for (int i = 0; i < 300; i++) {
            for (Book.Worker w : all) {
                w.state = Contract.WorkerState.values()[dice.nextInt(3)];
                w.home = dice.nextInt(2);
            }
            fleet.arrange();
            fleet.gather();
            for (int k = 0; k < 20; k++) {
                Book.Worker w = all.get(dice.nextInt(all.size()));
                w.suspect = !w.suspect;
                fleet.place(w, dice.nextBoolean());
            }
            for (int k = 0; k < fleet.groups(); k++) {
                int kind = k == 2 ? -1 : k;
                List<Book.Worker> present = all.stream().filter(w -> w.home == 1 && w.kind == kind
                        && w.state != Contract.WorkerState.GONE).toList();
                assertEquals(present.size(), fleet.present(k));
                assertEquals(present.stream().filter(w -> !w.suspect && w.state == Contract.WorkerState.IN_SERVICE)
                        .count(), fleet.counted(k));
            }
        }
    }
}
