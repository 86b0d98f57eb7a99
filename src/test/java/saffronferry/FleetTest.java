package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FleetTest {
    /** Guards against memory that grows with every release of the workers. */
    @Test
    void afterManyReleasesTheGoneAreForgotten() {
        Fleet fleet = new Fleet(1, 1);
        for (int i = 0; i < 2000; i++) {
            Book.Worker w = new Book.Worker("w" + i, 0);
            w.state = i < 10 ? Contract.WorkerState.IN_SERVICE : Contract.WorkerState.GONE;
            fleet.byAddress.put(w.address, w);
        }
        fleet.closeAll();
        assertEquals(10, fleet.byAddress.size());
    }

    private static Fleet of(int workers) {
        Fleet fleet = new Fleet(1, 1);
        for (int i = 0; i < workers; i++) {
            Book.Worker w = new Book.Worker("10.0.0." + i, 0);
            w.home = 0;
            w.ours = true;
            w.state = Contract.WorkerState.IN_SERVICE;
            fleet.byAddress.put(w.address, w);
        }
        fleet.arrange(0);
        return fleet;
    }

    /** Danger: if a new worker moved every key, all would be fetched anew from the shared store. */
    @Test
    void aNewWorkerMovesFewKeys() {
        Fleet before = of(20);
        Fleet after = of(21);
        int moved = 0;
        for (long key = 0; key < 1000; key++) {
            String was = before.ours[before.place(key)].address;
            moved += was.equals(after.ours[after.place(key)].address) ? 0 : 1;
        }
        assertTrue(moved > 0 && moved < 300, moved + " of 1000 keys moved");
    }

    @Test
    void everyWorkerIsFoundByItsHash() {
        Fleet fleet = of(20);
        for (Book.Worker w : fleet.byAddress.values()) {
            assertEquals(w, fleet.find(0, w.hash));
        }
    }
}
