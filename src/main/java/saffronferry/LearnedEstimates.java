package saffronferry;

import java.util.Arrays;
import java.util.List;

/** What the module has learned of running times and slots. Data only: {@link Dispatcher} decides. */
final class LearnedEstimates {
    private static final double MEAN_RATE = 0.02; // weight of a new running time, once there are many
    private static final double MOST_SLOTS = 4096; // no worker has more: a report that says so is none
    private static final double UNKNOWN_SLOTS = 2; // a worker of which nothing is known at all
    private static final double MOST_PACE = 4; // one hung job says little of its kind
    private static final double IDLE_UP = 0.3;
    private static final double IDLE_DOWN = 0.001;
    private static final double SLOT_SAMPLES = 10; // reports that the learned slots rest on

    /**
     * Learned slots of a worker, by kind, the last one for unknown kinds, and on how many reports each rests.
     */
    final double[] slots;

    final double[] weight;
    /** How often the usable slots of a kind have changed: workers at rest may be open by other ones still. */
    int usableChanges;
    /** The most free slots that workers of a kind report, by and by: what others have there is not in it. */
    private final double[] idle;
    /** Running time at a worker of each kind, over the class's mean. */
    final double[] pace;
    /** Running time by class, lately and at its best, and from how many jobs that is known. */
    final double[] mean;

    final double[] base;
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

    /** A job of the class was served in so many microseconds, by a worker of that kind. */
    void ran(int c, int k, long took) {
        pace[k] += (Math.min(MOST_PACE, took / mean[c]) - pace[k]) * MEAN_RATE;
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
        double before = usable(k);
        slots[k] += (total - slots[k]) / weight[k];
        usableChanges += usable(k) != before ? 1 : 0;
    }

    /** A worker reports so many free slots. */
    void learnIdle(int k, double free) {
        if (Math.abs(free) <= MOST_SLOTS) {
            idle[k] += (free - idle[k]) * (free > idle[k] ? IDLE_UP : IDLE_DOWN);
        }
    }

    /** Slots of a worker that are for our jobs: all of them, or what others whom we do not hear leave us. */
    double ours(int k) {
        return slots[k] > 0 ? slots[k] : UNKNOWN_SLOTS;
    }

    /** The same as a number of jobs. */
    double usable(int k) {
        return Math.floor(ours(k) + 0.4);
    }

    /** Slots of a worker whoever fills them: what all together may send to a cold one hangs on these. */
    double whole(int k) {
        return Math.max(ours(k), idle[k]);
    }

    /** Slot time of a job on its own at a worker of the kind, in microseconds. */
    double cost(Contract.Request job, int k) {
        return base[job.jobClass()] * pace[k] * job.slots();
    }

    /** The same for the class that takes longest, whatever the kind. */
    double longest() {
        return Arrays.stream(base).max().getAsDouble();
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
