package larchspool.adapter;

import java.io.EOFException;
import java.io.FileOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.IOException;

/** Command line: {@code adapter} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar larchspool.jar adapter");
            System.exit(2);
        }
        try {
            new Wire(new LineReader(new FileInputStream(FileDescriptor.in)),
                    new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException | EOFException e) {
            System.err.println("larchspool: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("larchspool: the pipe broke: " + e.getMessage());
            System.exit(1);
        }
    }
}
