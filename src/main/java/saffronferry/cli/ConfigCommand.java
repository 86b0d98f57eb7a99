package saffronferry.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import saffronferry.lifecycle.Config;

/** The command {@code config}: checks a dispatcher's configuration. */
@Command(name = "config", description = "Checks a dispatcher's configuration.")
final class ConfigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    @Command(name = "check", description = "Reads a configuration as serve does and reports what is wrong with it.")
    int check(
            @Parameters(paramLabel = "FILE", description = "the JSON file that BALANCER_CONFIG would name") Path file) {
        Config.check(file);
        spec.commandLine().getOut().println(file + ": fine");
        return 0;
    }
}
