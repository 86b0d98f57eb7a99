package saffronferry.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.stream.Collectors;

/**
 * Ends what the rig has started when the rig itself is killed, which no hook of its own can do: a shell that
 * holds the ids and acts when the rig's end of the pipe is gone.
 */
final class ProcessReaper implements AutoCloseable {
    private final Process shell;
    private final OutputStream told;

    ProcessReaper() throws IOException {
        shell = new ProcessBuilder(
                        "sh",
                        "-c",
                        "trap '' INT TERM; while read -r all; do last=$all; done; "
                                + "for p in $last; do kill -9 $p; done")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        told = shell.getOutputStream();
    }

    /** These live now, and no others. */
    void alive(Collection<Process> processes) throws IOException {
        String ids = processes.stream().map(p -> Long.toString(p.pid())).collect(Collectors.joining(" "));
        told.write((ids + "\n").getBytes(StandardCharsets.US_ASCII));
        told.flush();
    }

    @Override
    public void close() throws IOException {
        told.write('\n');
        told.close();
        try {
            shell.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
