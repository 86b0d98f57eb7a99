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

/**
 * Which processes of this dispatcher there are, told by marks in the folder that they share: one for each
 * process that has started, and one that names who came to serve last. Marks of processes that are gone count
 * for nothing. All of it blocks: nothing here is for the event loop.
 */
class Succession {
    private static final String STARTED = ".process-";
    private static final String TOLD = ".told-";
    /** File systems count the times of changes in steps of two seconds at most. */
    private static final long STEP_MS = 2_000;

    private final Path folder;
    private final String name;
    private final long self = ProcessHandle.current().pid();
    /** When the folder was last changed before a look that found nobody; null: it has to be read. */
    private FileTime nobodyAt;

    Succession(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** This process is about to take its share of what both may hold. */
    void started() throws IOException {
        Files.writeString(mark(self), "");
    }

    /** This process serves: one that served before it is replaced. */
    void serving() throws IOException {
        write(folder.resolve(name + ".serving"), Long.toString(self));
    }

    /** Whether another process, alive now, came to serve after this one. */
    boolean replaced() {
        try {
            long latest = Long.parseLong(
                    Files.readString(folder.resolve(name + ".serving")).trim());
            return latest != self && alive(latest);
        } catch (IOException | NumberFormatException e) {
            return false; // no mark that can be read: nobody is known to serve in our place
        }
    }

    /**
     * The other processes of this dispatcher that live. Nobody starts without a mark, and a mark that is made
     * changes the folder: while nothing has, and nobody was there, it need not be read again.
     */
    synchronized List<Long> others() {
        FileTime changed = changed();
        if (changed != null && changed.equals(nobodyAt)) {
            return List.of();
        }
        List<Long> alive = new ArrayList<>();
        // guards against a mark made after the folder was read, in the same step of its time
        boolean settled = changed != null && System.currentTimeMillis() - changed.toMillis() > STEP_MS;
        boolean whole = read(alive);
        nobodyAt = alive.isEmpty() && settled && whole ? changed : null;
        return alive;
    }

    /** Null if it cannot be told. */
    private FileTime changed() {
        try {
            return Files.getLastModifiedTime(folder);
        } catch (IOException e) {
            return null;
        }
    }

    /** Whether all marks could be read. */
    private boolean read(List<Long> alive) {
        try (DirectoryStream<Path> marks = Files.newDirectoryStream(folder, name + STARTED + "*")) {
            for (Path mark : marks) {
                long pid = pidOf(mark);
                if (pid != self && alive(pid)) {
                    alive.add(pid);
                } else if (pid != self) {
                    Files.deleteIfExists(mark);
                    Files.deleteIfExists(told(pid));
                }
            }
        } catch (IOException | java.nio.file.DirectoryIteratorException e) {
            return false; // what cannot be read now is read at the next look
        }
        return true;
    }

    /** How many others live, and what they tell. */
    record Company(int others, HandoverState told) {}

    /** Tells the others, where there are any, what this process has to say, and hears them. */
    Company exchange(HandoverState own) throws IOException {
        List<Long> others = others();
        if (others.isEmpty()) {
            return new Company(0, HandoverState.NOBODY);
        }
        JSONObject json =
                new JSONObject().put("jobs", new JSONObject(own.jobs())).put("learned", new JSONArray(own.learned()));
        write(told(self), json.toString());
        Map<String, Integer> jobs = new HashMap<>();
        double[] learned = {};
        for (long other : others) {
            HandoverState b = read(told(other));
            b.jobs().forEach((worker, slots) -> jobs.merge(worker, slots, Integer::sum));
            learned = b.learned().length > 0 ? b.learned() : learned;
        }
        return new Company(others.size(), new HandoverState(jobs, learned));
    }

    /** A process that has not spoken yet, or whose version speaks otherwise, says nothing. */
    private static HandoverState read(Path file) {
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
            return new HandoverState(jobs, figures);
        } catch (IOException | JSONException e) {
            return HandoverState.NOBODY;
        }
    }

    /** Whole, or not at all: a reader finds no half. */
    private void write(Path file, String text) throws IOException {
        Path whole = Files.createTempFile(folder, name, ".new");
        Files.writeString(whole, text);
        Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private Path told(long pid) {
        return folder.resolve(name + TOLD + pid);
    }

    /** This process is about to end. */
    void ended() {
        try {
            Files.deleteIfExists(mark(self));
            Files.deleteIfExists(told(self));
        } catch (IOException e) {
            // whoever looks next sees that we are gone
        }
    }

    private Path mark(long pid) {
        return folder.resolve(name + STARTED + pid);
    }

    private long pidOf(Path mark) {
        try {
            return Long.parseLong(mark.getFileName().toString().substring((name + STARTED).length()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** A process that has ended and is yet to be reaped serves nobody. */
    private static boolean alive(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2) != 'Z';
        } catch (IOException | StringIndexOutOfBoundsException e) {
            return false;
        }
    }
}
