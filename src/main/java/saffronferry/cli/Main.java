package saffronferry.cli;

import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ScopeType;
import saffronferry.lifecycle.Serve;

/** The command line. {@code serve} and {@code adapter} start without loading the command line parser. */
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
        description = "A dispatcher between clients and workers, with its simulation laboratory and its fault rig.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:cannot run",
            "2:bad usage or configuration",
            "3:a rule, a bound or a limit was violated"
        })
public final class Main {
    /** Exit code: a rule, a bound or a limit was violated. */
    static final int EXIT_CHECK_FAILED = 3;

    private Main() {}

    public static void main(String[] args) {
        String onlyArgument = args.length == 1 ? args[0] : "";
        switch (onlyArgument) {
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

    @Command(name = "serve", description = "Runs a dispatcher; BALANCER_CONFIG names its configuration file.")
    static final class ServeCommand implements Runnable {
        @Override
        public void run() {
            Serve.run();
        }
    }

    @Command(name = "adapter", description = "Runs dispatchers under a simulator, over standard input and output.")
    static final class AdapterCommand implements Runnable {
        @Override
        public void run() {
            saffronferry.adapter.AdapterMain.run();
        }
    }
}
