package saffronferry;

import java.util.Arrays;
import java.util.List;

/** What the module has learned of running times and slots. Data only: {@link Dispatcher} decides. */
final class Lessons {
    private static final double MEAN_RATE = 0.02; // weight of a new running time, once there are many
    private static final double MOST_SLOTS = 4096; // no worker has more: a report that says so is none
    private static final double SLOT_SAMPLES = 10; // reports that the learned slots rest on

    /**
     * Learned slots of a worker, by kind, the last one for unknown kinds, and on how many reports each rests.
     */
    final double[] slots;
    final double[] weight;
    /** Running time by class, lately and at its best, and from how many jobs that is known. */
    final double[] mean;
    final double[] base;
    final int[] ended;

    Lessons(int kinds, List<Contract.JobClass> classes, double firstMean) {
        slots = new double[kinds + 1];
        weight = new double[kinds + 1];
        mean = classes.stream().mapToDouble(c -> Math.max(firstMean, c.aim())).toArray();
        base = mean.clone();
        ended = new int[mean.length];
    }

    /** A job of the class was served in so many microseconds. */
    void ran(int c, long took) {
        // danger: a first guess that lingers makes suspects of workers that run long jobs
        ended[c] = Dispatcher.next(ended[c]);
        double rate = Math.max(MEAN_RATE, 1 / (ended[c] + 1.0));
        mean[c] += (took - mean[c]) * rate;
        base[c] += (mean[c] - base[c]) * (rate > MEAN_RATE ? 1 : mean[c] < base[c] ? rate : 0.0005);
    }

    /** Danger: slots learned too low stay idle on every worker of the kind. The first reports count fully. */
    void learnSlots(int k, double total) {
        // danger: one absurd figure would flood or idle all workers of the kind, an infinite one for good
        if (!(Math.abs(total) <= MOST_SLOTS)) {
            return;
        }
        weight[k] = Math.min(weight[k] + 1, SLOT_SAMPLES);
        slots[k] += (total - slots[k]) / weight[k];
    }

    /** All of it, to be told to another process. */
    double[] told() {
        double[] all = new double[2 * slots.length + 3 * mean.length];
        int at = 0;
        for (double[] of : new double[][] {slots, weight, mean, base}) {
            System.arraycopy(of, 0, all, at, of.length);
            at += of.length;
        }
        for (int i = 0; i < ended.length; i++) {
            all[at + i] = ended[i];
        }
        return all;
    }

    /**
     * Begins with what another process has learned; one that knows something itself, or other sites, keeps
     * that.
     */
    void take(double[] all) {
        boolean knows = Arrays.stream(weight).sum() + Arrays.stream(ended).sum() > 0;
        // guards against a file of nonsense: one infinite figure would flood or idle all workers of a kind
        boolean sane = all.length == 2 * slots.length + 3 * mean.length
                && Arrays.stream(all).allMatch(x -> x >= 0 && x < 1e12);
        if (knows || !sane) {
            return;
        }
        int at = 0;
        for (double[] of : new double[][] {slots, weight, mean, base}) {
            System.arraycopy(all, at, of, 0, of.length);
            at += of.length;
        }
        for (int i = 0; i < ended.length; i++) {
            ended[i] = (int) all[at + i];
        }
    }
}
