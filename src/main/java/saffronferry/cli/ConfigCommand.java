package saffronferry.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import saffronferry.lifecycle.Config;

/** What concerns a dispatcher's configuration. */
@Command(name = "config", description = "Checks a dispatcher's configuration.")
final class ConfigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    @Command(name = "check", description = "Reads a configuration as serve does and says what is wrong with it.")
    int check(@Parameters(paramLabel = "FILE", description = "a JSON file as BALANCER_CONFIG names it") Path file) {
        Config.check(file);
        spec.commandLine().getOut().println(file + ": fine");
        return 0;
    }
}
