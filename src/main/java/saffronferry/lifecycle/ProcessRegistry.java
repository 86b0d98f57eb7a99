package saffronferry.lifecycle;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.HandoverState;
import saffronferry.limit.DescriptorClaim;

/**
 * Registers the processes of a dispatcher by mark files in the folder that they share: one for each process that has
 * started, and one that names the process that started to serve last. Marks of ended processes are ignored. All
 * methods block; not for the event loop.
 */
class ProcessRegistry {
    private static final String PROCESS_MARK = ".process-";
    private static final String STATE_FILE = ".told-";
    private static final String CLAIM_KEY = "descriptors";
    /** The coarsest resolution of modification times in file systems. */
    private static final long FILE_TIME_STEP_MS = 2_000;

    private final Path folder;
    private final String name;
    private final long self = ProcessHandle.current().pid();
    /** The modification time of the folder when it held no siblings; null if the folder has to be read. */
    private FileTime emptyFolderModifiedAt;

    ProcessRegistry(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** Registers this process, before it takes its share of what all processes together may hold. */
    void registerStarted() throws IOException {
        Files.writeString(markFile(self), "");
    }

    /** Registers that this process serves, and thus replaces one that served before. */
    void registerServing() throws IOException {
        writeAtomically(folder.resolve(name + ".serving"), Long.toString(self));
    }

    /** Whether another live process started to serve after this one. */
    boolean isReplaced() {
        try {
            long latest = Long.parseLong(
                    Files.readString(folder.resolve(name + ".serving")).trim());
            return latest != self && isAlive(latest);
        } catch (IOException | NumberFormatException e) {
            return false; // without a readable mark no other process is known to serve
        }
    }

    /**
     * The ids of the other live processes of this dispatcher. Each process creates a mark, which changes the
     * modification time of the folder; an unchanged folder without siblings is therefore not read again.
     */
    synchronized List<Long> liveSiblings() {
        FileTime changed = folderModifiedAt();
        if (changed != null && changed.equals(emptyFolderModifiedAt)) {
            return List.of();
        }
        List<Long> alive = new ArrayList<>();
        // A mark created after the read may leave the modification time unchanged within its resolution.
        boolean settled = changed != null && System.currentTimeMillis() - changed.toMillis() > FILE_TIME_STEP_MS;
        boolean complete = readMarks(alive);
        emptyFolderModifiedAt = alive.isEmpty() && settled && complete ? changed : null;
        return alive;
    }

    /** Null if it cannot be read. */
    private FileTime folderModifiedAt() {
        try {
            return Files.getLastModifiedTime(folder);
        } catch (IOException e) {
            return null;
        }
    }

    /** Adds the live siblings, and deletes the files of ended ones; true if all marks could be read. */
    private boolean readMarks(List<Long> alive) {
        try (DirectoryStream<Path> marks = Files.newDirectoryStream(folder, name + PROCESS_MARK + "*")) {
            for (Path mark : marks) {
                long pid = pidOf(mark);
                if (pid != self && isAlive(pid)) {
                    alive.add(pid);
                } else if (pid != self) {
                    Files.deleteIfExists(mark);
                    Files.deleteIfExists(stateFile(pid));
                }
            }
        } catch (IOException | java.nio.file.DirectoryIteratorException e) {
            return false; // read again at the next poll
        }
        return true;
    }

    /** The number of live siblings, their combined state, and the descriptors that they claim as far as they tell. */
    record Siblings(int count, HandoverState state, List<DescriptorClaim> claims) {
        static final Siblings NONE = new Siblings(0, HandoverState.NONE, List.of());
    }

    /** What one process tells; the claim is null if it tells none. */
    private record ProcessState(HandoverState state, DescriptorClaim claim) {
        static final ProcessState NONE = new ProcessState(HandoverState.NONE, null);
    }

    /** Publishes the own state and claim if there are siblings, and reads theirs. */
    Siblings exchangeState(HandoverState own, DescriptorClaim claim) throws IOException {
        List<Long> others = liveSiblings();
        if (others.isEmpty()) {
            return Siblings.NONE;
        }
        writeAtomically(stateFile(self), format(own, claim).toString());
        Map<String, Integer> jobs = new HashMap<>();
        List<DescriptorClaim> claims = new ArrayList<>();
        double[] learned = {};
        for (long other : others) {
            ProcessState told = readState(stateFile(other));
            told.state().busySlots().forEach((worker, slots) -> jobs.merge(worker, slots, Integer::sum));
            learned = told.state().learned().length > 0 ? told.state().learned() : learned;
            if (told.claim() != null) {
                claims.add(told.claim());
            }
        }
        return new Siblings(others.size(), new HandoverState(jobs, learned), claims);
    }

    private static JSONObject format(HandoverState state, DescriptorClaim claim) {
        return new JSONObject()
                .put("jobs", new JSONObject(state.busySlots()))
                .put("learned", new JSONArray(state.learned()))
                .put(CLAIM_KEY, new JSONObject().put("maximum", claim.maximum()).put("accepting", claim.accepting()));
    }

    /** Reads the state of a process; empty if it has not written any, or a version that cannot be parsed. */
    private static ProcessState readState(Path file) {
        try {
            JSONObject json = new JSONObject(Files.readString(file));
            Map<String, Integer> jobs = new HashMap<>();
            JSONObject slots = json.getJSONObject("jobs");
            slots.keySet().forEach(worker -> jobs.put(worker, Math.max(0, slots.getInt(worker))));
            JSONArray learned = json.getJSONArray("learned");
            double[] values = new double[learned.length()];
            for (int i = 0; i < values.length; i++) {
                values[i] = learned.getDouble(i);
            }
            return new ProcessState(new HandoverState(jobs, values), readClaim(json));
        } catch (IOException | JSONException e) {
            return ProcessState.NONE;
        }
    }

    /** Null if there is none, as in the state of an earlier version of the program. */
    private static DescriptorClaim readClaim(JSONObject json) {
        JSONObject claim = json.optJSONObject(CLAIM_KEY);
        return claim == null
                ? null
                : new DescriptorClaim(Math.max(0, claim.getInt("maximum")), claim.getBoolean("accepting"));
    }

    /** Writes by a rename, so that readers never see a partly written file. */
    private void writeAtomically(Path file, String text) throws IOException {
        Path temporary = Files.createTempFile(folder, name, ".new");
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private Path stateFile(long pid) {
        return folder.resolve(name + STATE_FILE + pid);
    }

    /** Removes the files of this process, which is about to end. */
    void unregister() {
        try {
            Files.deleteIfExists(markFile(self));
            Files.deleteIfExists(stateFile(self));
        } catch (IOException e) {
            // siblings ignore and delete the files of ended processes
        }
    }

    private Path markFile(long pid) {
        return folder.resolve(name + PROCESS_MARK + pid);
    }

    private long pidOf(Path mark) {
        try {
            return Long.parseLong(mark.getFileName().toString().substring((name + PROCESS_MARK).length()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** A zombie process counts as ended. */
    private static boolean isAlive(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2) != 'Z';
        } catch (IOException | StringIndexOutOfBoundsException e) {
            return false;
        }
    }
}
