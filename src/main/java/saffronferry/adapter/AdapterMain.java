package saffronferry.adapter;

import java.io.EOFException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command {@code adapter}: runs dispatchers under a simulator, over standard input and output. */
public final class AdapterMain {
    private AdapterMain() {}

    /** Serves the simulator until the end of input; exits with 1 if the input is malformed or a pipe fails. */
    public static void run() {
        try {
            new SimulatorProtocol(
                            new LineReader(new FileInputStream(FileDescriptor.in)),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
        } catch (ProtocolException | EOFException e) {
            System.err.println("saffronferry: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("saffronferry: I/O error on standard input or output: " + e.getMessage());
            System.exit(1);
        }
    }
}
