package saffronferry.cli;

import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ScopeType;
import saffronferry.lifecycle.Serve;

/** The command line. {@code serve} and {@code adapter} go their way before any of it is loaded. */
@Command(
        name = "saffronferry",
        mixinStandardHelpOptions = true,
        version = "saffronferry 0.1.0",
        scope = ScopeType.INHERIT,
        subcommands = {
            Main.ServeCommand.class,
            Main.AdapterCommand.class,
            ConfigCommand.class,
            LabCommand.class,
            RigCommand.class,
            ScaleCommand.class,
            ScaleFitCommand.class,
            GenerateCompletion.class
        },
        description = "A dispatcher that pushes jobs to workers, its laboratory and its fault rig.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:cannot run", "2:bad usage or configuration", "3:a rule or a bound was broken"})
public final class Main {
    /** A rule was broken. */
    static final int BROKEN = 3;

    private Main() {}

    public static void main(String[] args) {
        String only = args.length == 1 ? args[0] : "";
        switch (only) {
            case "serve" -> Serve.run();
            case "adapter" -> saffronferry.adapter.AdapterMain.run();
            default -> System.exit(execute(args));
        }
    }

    static int execute(String... args) {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr().println("saffronferry: " + e.getMessage());
                    return e instanceof IllegalArgumentException
                            ? CommandLine.ExitCode.USAGE
                            : CommandLine.ExitCode.SOFTWARE;
                })
                .execute(args);
    }

    @Command(name = "serve", description = "A real dispatcher; BALANCER_CONFIG names its configuration.")
    static final class ServeCommand implements Runnable {
        @Override
        public void run() {
            Serve.run();
        }
    }

    @Command(name = "adapter", description = "The same decisions in the simulator, on standard input and output.")
    static final class AdapterCommand implements Runnable {
        @Override
        public void run() {
            saffronferry.adapter.AdapterMain.run();
        }
    }
}
