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
import saffronferry.Beside;

/**
 * Which processes of this dispatcher there are, told by marks in the folder that they share: one for each
 * process that has started, and one that names who came to serve last. Marks of processes that are gone count
 * for nothing. All of it blocks: nothing here is for the event loop.
 */
class ProcessRegistry {
    private static final String PROCESS_MARK = ".process-";
    private static final String STATE_FILE = ".told-";
    /** File systems count the times of changes in steps of two seconds at most. */
    private static final long FILE_TIME_STEP_MS = 2_000;

    private final Path folder;
    private final String name;
    private final long self = ProcessHandle.current().pid();
    /** When the folder was last changed before a look that found nobody; null: it has to be read. */
    private FileTime emptyFolderModifiedAt;

    ProcessRegistry(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** This process is about to take its share of what both may hold. */
    void registerStarted() throws IOException {
        Files.writeString(markFile(self), "");
    }

    /** This process serves: one that served before it is replaced. */
    void registerServing() throws IOException {
        writeAtomically(folder.resolve(name + ".serving"), Long.toString(self));
    }

    /** Whether another process, alive now, came to serve after this one. */
    boolean isReplaced() {
        try {
            long latest = Long.parseLong(
                    Files.readString(folder.resolve(name + ".serving")).trim());
            return latest != self && isAlive(latest);
        } catch (IOException | NumberFormatException e) {
            return false; // no mark that can be read: nobody is known to serve in our place
        }
    }

    /**
     * The other processes of this dispatcher that live. Nobody starts without a mark, and a mark that is made
     * changes the folder: while nothing has, and nobody was there, it need not be read again.
     */
    synchronized List<Long> liveSiblings() {
        FileTime changed = folderModifiedAt();
        if (changed != null && changed.equals(emptyFolderModifiedAt)) {
            return List.of();
        }
        List<Long> alive = new ArrayList<>();
        // guards against a mark made after the folder was read, in the same step of its time
        boolean settled = changed != null && System.currentTimeMillis() - changed.toMillis() > FILE_TIME_STEP_MS;
        boolean whole = readMarks(alive);
        emptyFolderModifiedAt = alive.isEmpty() && settled && whole ? changed : null;
        return alive;
    }

    /** Null if it cannot be told. */
    private FileTime folderModifiedAt() {
        try {
            return Files.getLastModifiedTime(folder);
        } catch (IOException e) {
            return null;
        }
    }

    /** Whether all marks could be read. */
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
            return false; // what cannot be read now is read at the next look
        }
        return true;
    }

    /** How many others live, and what they tell. */
    record Siblings(int count, Beside state) {}

    /** Tells the others, where there are any, what this process has to say, and hears them. */
    Siblings exchangeState(Beside own) throws IOException {
        List<Long> others = liveSiblings();
        if (others.isEmpty()) {
            return new Siblings(0, Beside.NOBODY);
        }
        JSONObject json =
                new JSONObject().put("jobs", new JSONObject(own.jobs())).put("learned", new JSONArray(own.learned()));
        writeAtomically(stateFile(self), json.toString());
        Map<String, Integer> jobs = new HashMap<>();
        double[] learned = {};
        for (long other : others) {
            Beside b = readState(stateFile(other));
            b.jobs().forEach((worker, slots) -> jobs.merge(worker, slots, Integer::sum));
            learned = b.learned().length > 0 ? b.learned() : learned;
        }
        return new Siblings(others.size(), new Beside(jobs, learned));
    }

    /** A process that has not spoken yet, or whose version speaks otherwise, says nothing. */
    private static Beside readState(Path file) {
        try {
            JSONObject json = new JSONObject(Files.readString(file));
            Map<String, Integer> jobs = new HashMap<>();
            JSONObject told = json.getJSONObject("jobs");
            told.keySet().forEach(worker -> jobs.put(worker, Math.max(0, told.getInt(worker))));
            JSONArray learned = json.getJSONArray("learned");
            double[] figures = new double[learned.length()];
            for (int i = 0; i < figures.length; i++) {
                figures[i] = learned.getDouble(i);
            }
            return new Beside(jobs, figures);
        } catch (IOException | JSONException e) {
            return Beside.NOBODY;
        }
    }

    /** Whole, or not at all: a reader finds no half. */
    private void writeAtomically(Path file, String text) throws IOException {
        Path whole = Files.createTempFile(folder, name, ".new");
        Files.writeString(whole, text);
        Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private Path stateFile(long pid) {
        return folder.resolve(name + STATE_FILE + pid);
    }

    /** This process is about to end. */
    void unregister() {
        try {
            Files.deleteIfExists(markFile(self));
            Files.deleteIfExists(stateFile(self));
        } catch (IOException e) {
            // whoever looks next sees that we are gone
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

    /** A process that has ended and is yet to be reaped serves nobody. */
    private static boolean isAlive(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2) != 'Z';
        } catch (IOException | StringIndexOutOfBoundsException e) {
            return false;
        }
    }
}
