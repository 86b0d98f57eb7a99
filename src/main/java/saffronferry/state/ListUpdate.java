package saffronferry.state;

import java.util.List;
import saffronferry.Contract.WorkerInfo;

/** What discovery says: the whole list of subchannels, or the entries that changed. */
public record ListUpdate(long revision, boolean complete, List<Entry> entries) {
    /** A subchannel, known by its id, and the address at which this dispatcher reaches it. */
    public record Entry(WorkerInfo info, String address) {}

    List<WorkerInfo> infos() {
        return entries.stream().map(Entry::info).toList();
    }
}
