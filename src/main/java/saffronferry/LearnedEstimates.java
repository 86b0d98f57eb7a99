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
    final double[] slotEstimate;
    /** Number of reports behind each element of {@link #slotEstimate}, up to a maximum. */
    final double[] slotSamples;
    /** Counts changes of usable slots, after which the index of workers with free slots has to be updated. */
    int usableSlotChanges;
    /** Slowly decaying maximum of the free slots that workers of a kind report. */
    private final double[] mostFreeSlots;
    /** Running time at a worker of each kind, relative to the class's mean. */
    final double[] kindSlowdown;
    /** Recent mean running time by class. */
    final double[] meanRunTime;
    /** Running time by class on lightly loaded workers: follows decreases of the mean quickly, increases slowly. */
    final double[] bestRunTime;
    /** Number of served jobs by class. */
    final int[] endedJobs;

    LearnedEstimates(int kinds, List<Contract.JobClass> classes, double firstMean) {
        slotEstimate = new double[kinds + 1];
        slotSamples = new double[kinds + 1];
        mostFreeSlots = new double[kinds + 1];
        kindSlowdown = new double[kinds + 1];
        Arrays.fill(kindSlowdown, 1);
        meanRunTime = classes.stream()
                .mapToDouble(c -> Math.max(firstMean, c.latencyTarget()))
                .toArray();
        bestRunTime = meanRunTime.clone();
        endedJobs = new int[meanRunTime.length];
    }

    /** Records that a worker of the kind ran a job of the class in {@code took} microseconds. */
    void recordRunTime(int jobClass, int kind, long took) {
        kindSlowdown[kind] +=
                (Math.min(MAX_SLOWDOWN, took / meanRunTime[jobClass]) - kindSlowdown[kind]) * MIN_MEAN_RATE;
        // The first jobs weigh more: an initial estimate that is far too low would make workers with long jobs suspect.
        endedJobs[jobClass] = Dispatcher.saturatingIncrement(endedJobs[jobClass]);
        double rate = Math.max(MIN_MEAN_RATE, 1 / (endedJobs[jobClass] + 1.0));
        meanRunTime[jobClass] += (took - meanRunTime[jobClass]) * rate;
        bestRunTime[jobClass] += (meanRunTime[jobClass] - bestRunTime[jobClass])
                * (rate > MIN_MEAN_RATE
                        ? 1
                        : meanRunTime[jobClass] < bestRunTime[jobClass] ? rate : BEST_TIME_RISE_RATE);
    }

    /**
     * Records the number of slots that a worker of the kind has for our jobs. The first reports count fully, since an
     * estimate that is too low leaves slots idle on every worker of the kind.
     */
    void recordSlots(int kind, double total) {
        // One absurd value would overload or idle all workers of the kind, an infinite one permanently.
        if (!(Math.abs(total) <= MAX_SLOTS)) {
            return;
        }
        slotSamples[kind] = Math.min(slotSamples[kind] + 1, MAX_SLOT_SAMPLES);
        double before = usableSlots(kind);
        slotEstimate[kind] += (total - slotEstimate[kind]) / slotSamples[kind];
        usableSlotChanges += usableSlots(kind) != before ? 1 : 0;
    }

    /** Records the number of free slots that a worker of the kind reports. */
    void recordFreeSlots(int kind, double free) {
        if (Math.abs(free) <= MAX_SLOTS) {
            mostFreeSlots[kind] += (free - mostFreeSlots[kind])
                    * (free > mostFreeSlots[kind] ? FREE_SLOTS_RISE_RATE : FREE_SLOTS_FALL_RATE);
        }
    }

    /** Slots of a worker that are available to our jobs: all, less those used by dispatchers without contact to us. */
    double availableSlots(int kind) {
        return slotEstimate[kind] > 0 ? slotEstimate[kind] : DEFAULT_SLOTS;
    }

    /** The available slots, rounded to a whole number of jobs. */
    double usableSlots(int kind) {
        return Math.floor(availableSlots(kind) + 0.4);
    }

    /** All slots of a worker, whichever dispatcher uses them; the basis of the budget for cold workers. */
    double totalSlots(int kind) {
        return Math.max(availableSlots(kind), mostFreeSlots[kind]);
    }

    /** Expected slot time in microseconds of a job that runs alone on a worker of the kind. */
    double expectedSlotTime(Contract.Request job, int kind) {
        return bestRunTime[job.jobClass()] * kindSlowdown[kind] * job.slots();
    }

    /** Best running time in microseconds of the class with the longest one. */
    double longestSlotTime() {
        return Arrays.stream(bestRunTime).max().getAsDouble();
    }

    /** Estimates of slots and running times, for another process of this dispatcher. */
    double[] snapshot() {
        double[] all = new double[2 * slotEstimate.length + 3 * meanRunTime.length];
        int at = 0;
        for (double[] of : new double[][] {slotEstimate, slotSamples, meanRunTime, bestRunTime}) {
            System.arraycopy(of, 0, all, at, of.length);
            at += of.length;
        }
        for (int i = 0; i < endedJobs.length; i++) {
            all[at + i] = endedJobs[i];
        }
        return all;
    }

    /**
     * Adopts another process's estimates. Without effect if this process has estimates of its own, or if the array
     * does not fit this process's kinds and classes.
     */
    void restore(double[] all) {
        boolean hasOwn =
                Arrays.stream(slotSamples).sum() + Arrays.stream(endedJobs).sum() > 0;
        // The array comes from a file: one infinite value would overload or idle all workers of a kind.
        boolean valid = all.length == 2 * slotEstimate.length + 3 * meanRunTime.length
                && Arrays.stream(all).allMatch(x -> x >= 0 && x < MAX_RESTORED_VALUE);
        if (hasOwn || !valid) {
            return;
        }
        usableSlotChanges++;
        int at = 0;
        for (double[] of : new double[][] {slotEstimate, slotSamples, meanRunTime, bestRunTime}) {
            System.arraycopy(all, at, of, 0, of.length);
            at += of.length;
        }
        for (int i = 0; i < endedJobs.length; i++) {
            endedJobs[i] = (int) all[at + i];
        }
    }
}
