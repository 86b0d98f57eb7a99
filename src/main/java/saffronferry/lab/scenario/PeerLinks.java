package saffronferry.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import saffronferry.lab.scenario.Scenario.Fault;

/**
 * Decides whether datagrams between two dispatchers are lost, delayed or duplicated by the faults of a scenario.
 * Shared by the simulator and the rig. Pure: time and random numbers are passed in. The shape {@code half} cuts
 * the dispatchers with numbers below the middle off from the others; {@code alone}, {@code mute} (the others
 * receive nothing from them) and {@code deaf} (they receive nothing) apply to the first dispatchers, whose share
 * is {@code part}.
 */
public final class PeerLinks {
    private final List<Fault> linkFaults;
    private final int dispatchers;
    private final Scenario scenario;
    private final long start;

    /** Fault times are relative to {@code start}, in microseconds. */
    public PeerLinks(Scenario scenario, long start) {
        linkFaults = scenario.faults().stream()
                .filter(fault -> fault.kind().equals("peer_cut"))
                .toList();
        dispatchers = scenario.dispatchers();
        this.scenario = scenario;
        this.start = start;
    }

    /** The extra delay of each delivered copy of a datagram in microseconds; empty if it is lost. */
    public List<Long> copies(long now, int from, int to, DoubleSupplier chance) {
        long delay = 0;
        int copies = 1;
        for (Fault fault : linkFaults) {
            if (!isActive(fault, now - start) || !affects(fault, from, to)) {
                continue;
            }
            if (fault.link().loss() >= 1 || chance.getAsDouble() < fault.link().loss()) {
                return List.of();
            }
            delay += Math.round(fault.link().delay() * chance.getAsDouble());
            copies += chance.getAsDouble() < fault.link().doubled() ? 1 : 0;
        }
        List<Long> result = new ArrayList<>();
        for (int i = 0; i < copies; i++) {
            result.add(i == 0 ? delay : delay + Math.round(1e4 * chance.getAsDouble()));
        }
        return result;
    }

    private static boolean isActive(Fault fault, long at) {
        long elapsed = at - fault.at();
        long flap = fault.link().flap();
        return elapsed >= 0 && elapsed < fault.length() && (flap == 0 || elapsed / flap % 2 == 0);
    }

    private boolean affects(Fault fault, int from, int to) {
        int affected = (int) Math.max(1, Math.round(fault.part() * dispatchers));
        boolean oneWay = fault.link().oneWay();
        return switch (fault.link().shape()) {
            case "half" -> oneWay ? inLowerHalf(from) && !inLowerHalf(to) : inLowerHalf(from) != inLowerHalf(to);
            case "alone" -> oneWay ? from < affected && to >= affected : from < affected != to < affected;
            case "mute" -> from < affected;
            case "deaf" -> to < affected;
            case "regions" -> region(from) != region(to) && (!oneWay || from < to);
            default -> !oneWay || from < to;
        };
    }

    /** Dispatchers are assigned to zones round robin. */
    private int region(int dispatcher) {
        return scenario.regionOf(dispatcher % scenario.zones().size());
    }

    private boolean inLowerHalf(int dispatcher) {
        return dispatcher < (dispatchers + 1) / 2;
    }
}
