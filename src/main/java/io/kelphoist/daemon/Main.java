package io.kelphoist.daemon;

import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;

/** The command line. */
@Command(name = "kelphoist", mixinStandardHelpOptions = true, versionProvider = Main.Version.class, sortOptions = false,
        description = "A controller of the kelphoist cluster scheduler.",
        footer = {"", "Environment:", "  LOG_LEVEL   error, info or debug (default: info); logs go to standard error"})
public final class Main implements Callable<Integer> {
    @Option(names = "--config", paramLabel = "FILE", description = "The platform's settings file (JSON).")
    private Path config;

    @Option(names = "--operator", paramLabel = "FILE", description = "The operators' own settings (protobuf text format).")
    private Path operator;

    @Option(names = "--check", description = "Check the settings and exit.")
    private boolean check;

    @Option(names = "--warm-up", hidden = true, description = "Touch what a start needs, for the class archive, and exit.")
    private boolean warmUp;

    private final double startedAt = System.nanoTime() * 1e-9;

    /** The version, from the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String v = Main.class.getPackage().getImplementationVersion();
            return new String[] {"kelphoist " + (v == null ? "(development)" : v)};
        }
    }

    public static void main(String[] args) {
        logging();
        CommandLine line = new CommandLine(new Main());
        int code = line.execute(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    private static void logging() {
        String level = System.getenv("LOG_LEVEL");
        level = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", switch (level) {
            case "error", "debug", "warn", "trace" -> level;
            default -> "info";
        });
        if (!level.equals("trace")) {
            // Libraries speak up only when something is wrong.
            for (String library : new String[] {"org.xnio", "io.undertow", "org.jboss", "io.micrometer"}) {
                System.setProperty("org.slf4j.simpleLogger.log." + library, "error");
            }
        }
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }

    /** Below zero: goes on until something ends the process. */
    @Override
    public Integer call() throws IOException {
        if (warmUp) {
            WarmUp.run();
            return 0;
        }
        if (config == null) {
            System.err.println("kelphoist: --config FILE is missing, see --help");
            return 2;
        }
        Settings settings;
        OperatorSettings own;
        try {
            settings = Settings.read(config);
            own = operator == null ? OperatorSettings.DEFAULT : OperatorSettings.read(operator);
        } catch (Settings.Invalid e) {
            System.err.println("kelphoist: " + e.getMessage());
            return 2;
        }
        if (check) {
            System.out.println("settings are fine: " + settings.node() + " of " + settings.controllers() + " controllers, "
                    + settings.teams().size() + " teams");
            return 0;
        }
        Daemon.start(settings, own, startedAt);
        return -1;
    }
}
