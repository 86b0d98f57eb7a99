package saffronferry.state;

import java.util.List;
import saffronferry.Contract.WorkerInfo;

/** An update from discovery: the complete list of subchannels, or only the entries that changed. */
public record ListUpdate(long revision, boolean complete, List<Entry> entries) {
    /** A subchannel, identified by its id, and the address at which this dispatcher reaches it. */
    public record Entry(WorkerInfo info, String address) {}

    List<WorkerInfo> infos() {
        return entries.stream().map(Entry::info).toList();
    }
}
