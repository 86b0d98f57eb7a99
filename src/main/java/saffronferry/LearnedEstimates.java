package saffronferry;

import java.util.Arrays;
import java.util.List;

/** Estimates of running times and worker slots, learned from served jobs and load reports. */
final class LearnedEstimates {
    /** Least weight of a new running time in the moving average. */
    private static final double MIN_MEAN_RATE = 0.02;
    /** Upper bound of plausible slot counts; reports beyond it are ignored. */
    private static final double MAX_SLOTS = 4096;
    /** Slots assumed for a worker kind without any report. */
    private static final double DEFAULT_SLOTS = 2;
    /** Limits how much a single hung job raises the slowdown of its worker kind. */
    private static final double MAX_SLOWDOWN = 4;

    /** Weight of an increase of the mean running time in the best running time. */
    private static final double BEST_TIME_RISE_RATE = 0.0005;
    /** Weight of a report above, and of one below, the maximum of free slots. */
    private static final double FREE_SLOTS_RISE_RATE = 0.3;

    private static final double FREE_SLOTS_FALL_RATE = 0.001;
    /** Upper bound of plausible values in a snapshot. */
    private static final double MAX_RESTORED_VALUE = 1e12;
    /** Number of reports that a slot estimate averages over. */
    private static final double MAX_SLOT_SAMPLES = 10;

    /** Learned slots of a worker by kind; the last element is for unknown kinds. */
    final double[] slots;
    /** Number of reports behind each element of {@link #slots}, up to a maximum. */
    final double[] weight;
    /** Counts changes of usable slots, after which the index of workers with free slots has to be updated. */
    int usableChanges;
    /** Slowly decaying maximum of the free slots that workers of a kind report. */
    private final double[] idle;
    /** Running time at a worker of each kind, relative to the class's mean. */
    final double[] pace;
    /** Recent mean running time by class. */
    final double[] mean;
    /** Running time by class on lightly loaded workers: follows decreases of the mean quickly, increases slowly. */
    final double[] base;
    /** Number of served jobs by class. */
    final int[] ended;

    LearnedEstimates(int kinds, List<Contract.JobClass> classes, double firstMean) {
        slots = new double[kinds + 1];
        weight = new double[kinds + 1];
        idle = new double[kinds + 1];
        pace = new double[kinds + 1];
        Arrays.fill(pace, 1);
        mean = classes.stream().mapToDouble(c -> Math.max(firstMean, c.aim())).toArray();
        base = mean.clone();
        ended = new int[mean.length];
    }

    /** Records that a worker of the kind ran a job of the class in {@code took} microseconds. */
    void ran(int jobClass, int kind, long took) {
        pace[kind] += (Math.min(MAX_SLOWDOWN, took / mean[jobClass]) - pace[kind]) * MIN_MEAN_RATE;
        // The first jobs weigh more: an initial estimate that is far too low would make workers with long jobs suspect.
        ended[jobClass] = Dispatcher.saturatingIncrement(ended[jobClass]);
        double rate = Math.max(MIN_MEAN_RATE, 1 / (ended[jobClass] + 1.0));
        mean[jobClass] += (took - mean[jobClass]) * rate;
        base[jobClass] += (mean[jobClass] - base[jobClass])
                * (rate > MIN_MEAN_RATE ? 1 : mean[jobClass] < base[jobClass] ? rate : BEST_TIME_RISE_RATE);
    }

    /**
     * Records the number of slots that a worker of the kind has for our jobs. The first reports count fully, since an
     * estimate that is too low leaves slots idle on every worker of the kind.
     */
    void learnSlots(int kind, double total) {
        // One absurd value would overload or idle all workers of the kind, an infinite one permanently.
        if (!(Math.abs(total) <= MAX_SLOTS)) {
            return;
        }
        weight[kind] = Math.min(weight[kind] + 1, MAX_SLOT_SAMPLES);
        double before = usable(kind);
        slots[kind] += (total - slots[kind]) / weight[kind];
        usableChanges += usable(kind) != before ? 1 : 0;
    }

    /** Records the number of free slots that a worker of the kind reports. */
    void learnIdle(int kind, double free) {
        if (Math.abs(free) <= MAX_SLOTS) {
            idle[kind] += (free - idle[kind]) * (free > idle[kind] ? FREE_SLOTS_RISE_RATE : FREE_SLOTS_FALL_RATE);
        }
    }

    /** Slots of a worker that are available to our jobs: all, less those used by dispatchers without contact to us. */
    double ours(int kind) {
        return slots[kind] > 0 ? slots[kind] : DEFAULT_SLOTS;
    }

    /** The available slots, rounded to a whole number of jobs. */
    double usable(int kind) {
        return Math.floor(ours(kind) + 0.4);
    }

    /** All slots of a worker, whichever dispatcher uses them; the basis of the budget for cold workers. */
    double whole(int kind) {
        return Math.max(ours(kind), idle[kind]);
    }

    /** Expected slot time in microseconds of a job that runs alone on a worker of the kind. */
    double cost(Contract.Request job, int kind) {
        return base[job.jobClass()] * pace[kind] * job.slots();
    }

    /** Best running time in microseconds of the class with the longest one. */
    double longest() {
        return Arrays.stream(base).max().getAsDouble();
    }

    /** All estimates except those by worker kind, for another process of this dispatcher. */
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
     * Adopts another process's estimates. Without effect if this process has estimates of its own, or if the array
     * does not fit this process's kinds and classes.
     */
    void take(double[] all) {
        boolean hasOwn = Arrays.stream(weight).sum() + Arrays.stream(ended).sum() > 0;
        // The array comes from a file: one infinite value would overload or idle all workers of a kind.
        boolean valid = all.length == 2 * slots.length + 3 * mean.length
                && Arrays.stream(all).allMatch(x -> x >= 0 && x < MAX_RESTORED_VALUE);
        if (hasOwn || !valid) {
            return;
        }
        usableChanges++;
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
