package saffronferry.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import saffronferry.lab.scenario.Scenario.Fault;

/**
 * What becomes of a datagram between two dispatchers under a scenario's troubles; the laboratory and the rig
 * ask the same. Pure: clock and chance are handed in. Halves are the dispatchers below and above the middle
 * number; those alone, mute (nobody hears them) or deaf (they hear nobody) are the first ones, {@code part}
 * of all.
 */
public final class PeerLinks {
    private final List<Fault> cuts;
    private final int dispatchers;
    private final Scenario scenario;
    private final long start;

    /** The troubles' times count from {@code start}, in microseconds. */
    public PeerLinks(Scenario scenario, long start) {
        cuts = scenario.faults().stream()
                .filter(t -> t.kind().equals("peer_cut"))
                .toList();
        dispatchers = scenario.dispatchers();
        this.scenario = scenario;
        this.start = start;
    }

    /** How much later each copy of a datagram arrives, in microseconds; none where it is lost. */
    public List<Long> copies(long now, int from, int to, DoubleSupplier chance) {
        long late = 0;
        int copies = 1;
        for (Fault t : cuts) {
            if (!holds(t, now - start) || !concerns(t, from, to)) {
                continue;
            }
            if (t.link().loss() >= 1 || chance.getAsDouble() < t.link().loss()) {
                return List.of();
            }
            late += Math.round(t.link().delay() * chance.getAsDouble());
            copies += chance.getAsDouble() < t.link().doubled() ? 1 : 0;
        }
        List<Long> result = new ArrayList<>();
        for (int i = 0; i < copies; i++) {
            result.add(i == 0 ? late : late + Math.round(1e4 * chance.getAsDouble()));
        }
        return result;
    }

    private static boolean holds(Fault t, long at) {
        long since = at - t.at();
        long flap = t.link().flap();
        return since >= 0 && since < t.length() && (flap == 0 || since / flap % 2 == 0);
    }

    private boolean concerns(Fault t, int from, int to) {
        int first = (int) Math.max(1, Math.round(t.part() * dispatchers));
        boolean oneWay = t.link().oneWay();
        return switch (t.link().shape()) {
            case "half" -> oneWay ? below(from) && !below(to) : below(from) != below(to);
            case "alone" -> oneWay ? from < first && to >= first : from < first != to < first;
            case "mute" -> from < first;
            case "deaf" -> to < first;
            case "regions" -> region(from) != region(to) && (!oneWay || from < to);
            default -> !oneWay || from < to;
        };
    }

    /** Dispatchers are dealt out over the zones in turn. */
    private int region(int dispatcher) {
        return scenario.regionOf(dispatcher % scenario.zones().size());
    }

    private boolean below(int dispatcher) {
        return dispatcher < (dispatchers + 1) / 2;
    }
}
