package saffronferry.adapter;

import java.io.EOFException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command {@code adapter}: speaks the simulator's wire on standard input and output. */
public final class AdapterMain {
    private AdapterMain() {}

    public static void run() {
        try {
            new Wire(new LineReader(new FileInputStream(FileDescriptor.in)), new FileOutputStream(FileDescriptor.out))
                    .run();
        } catch (WireException | EOFException e) {
            System.err.println("saffronferry: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("saffronferry: the pipe broke: " + e.getMessage());
            System.exit(1);
        }
    }
}
