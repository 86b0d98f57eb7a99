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
}
