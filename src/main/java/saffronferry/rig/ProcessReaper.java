package saffronferry.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.stream.Collectors;

/**
 * Kills the dispatcher processes when the rig itself is killed, which a shutdown hook cannot do: a shell holds
 * the process ids and kills them when the rig's end of its input pipe closes.
 */
final class ProcessReaper implements AutoCloseable {
    private final Process shell;
    private final OutputStream pipe;

    ProcessReaper() throws IOException {
        shell = new ProcessBuilder(
                        "sh",
                        "-c",
                        "trap '' INT TERM; while read -r all; do last=$all; done; "
                                + "for p in $last; do kill -9 $p; done")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        pipe = shell.getOutputStream();
    }

    /** Replaces the set of processes to kill. */
    void track(Collection<Process> processes) throws IOException {
        String ids = processes.stream().map(p -> Long.toString(p.pid())).collect(Collectors.joining(" "));
        pipe.write((ids + "\n").getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
    }

    @Override
    public void close() throws IOException {
        pipe.write('\n');
        pipe.close();
        try {
            shell.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
