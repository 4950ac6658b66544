package io.kelphoist.cli;

import io.kelphoist.archive.ClassArchiveTraining;
import io.kelphoist.config.InvalidSettingsException;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.controller.ControllerProcess;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/**
 * Entry point of the program and command line of the controller. The options are declared by calls
 * instead of annotations, because reading annotations would take a quarter of the start-up time,
 * and start-up is part of the failover time.
 */
public final class Main {
    private static final double SECONDS_PER_NANO = 1e-9;
    private static final double STARTED_AT_SECONDS = System.nanoTime() * SECONDS_PER_NANO;

    /** Returned in place of an exit code: a controller was started, and the process runs on. */
    private static final int KEEP_RUNNING = -1;

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    /** The command that runs a local cluster. */
    private static final String LOCAL_CLUSTER_COMMAND = "lab";

    /** The users' commands; a controller never loads their classes. */
    private static final Set<String> USER_COMMANDS = Set.of("submit", "watch", "get", "cancel");

    private Main() {}

    /** Runs a command, or a controller until the process is stopped. */
    public static void main(String[] args) {
        disableManagementBeans();
        configureLogging();
        if (args.length > 0 && args[0].equals(LOCAL_CLUSTER_COMMAND)) {
            System.exit(
                    LocalClusterCommand.run(Arrays.copyOfRange(args, 1, args.length), System.out));
        }
        if (args.length > 0 && USER_COMMANDS.contains(args[0])) {
            System.exit(UserCommands.run(args, System.out, System.err));
        }
        CommandLine commandLine = new CommandLine(commandSpec());
        commandLine.setExecutionStrategy(Main::execute);
        int exitCode = commandLine.execute(args);
        if (exitCode != KEEP_RUNNING) {
            System.exit(exitCode);
        }
    }

    private static CommandSpec commandSpec() {
        CommandSpec spec = CommandSpec.create().name("kelphoist");
        spec.usageMessage()
                .description("A controller of the kelphoist cluster scheduler.")
                .footer(
                        "",
                        "Users' commands, over gRPC (each with --help): submit, watch, get, cancel",
                        "A local cluster for experiments on this machine: lab",
                        "",
                        "Environment:",
                        "  LOG_LEVEL   error, info or debug (default: info); logs go to standard error",
                        "  LOG_FORMAT  json: a line of JSON each, with job, task, machine and term as fields")
                .sortOptions(false);
        String version = Main.class.getPackage().getImplementationVersion();
        spec.version("kelphoist " + (version == null ? "(development)" : version));
        addOptions(spec);
        return spec;
    }

    private static void addOptions(CommandSpec spec) {
        spec.addOption(fileOption("--config", "The platform's settings file (JSON)."));
        spec.addOption(
                fileOption("--operator", "The operators' settings file (protobuf text format)."));
        spec.addOption(
                OptionSpec.builder("--on")
                        .paramLabel("PART")
                        .type(List.class)
                        .auxiliaryTypes(String.class)
                        .splitRegex(",")
                        .description(
                                "Features to enable, as in the operators' settings ("
                                        + String.join(", ", OperatorSettings.FEATURES)
                                        + ").")
                        .build());
        spec.addOption(flagOption("--check", "Check the settings and exit.").build());
        spec.addOption(
                flagOption(
                                "--warm-up",
                                "Load the classes that a start uses, for the class archive, and exit.")
                        .hidden(true)
                        .build());
        spec.addOption(
                OptionSpec.builder("-h", "--help")
                        .usageHelp(true)
                        .description("Show this help and exit.")
                        .build());
        spec.addOption(
                OptionSpec.builder("-V", "--version")
                        .versionHelp(true)
                        .description("Print the version and exit.")
                        .build());
    }

    private static OptionSpec fileOption(String name, String description) {
        return OptionSpec.builder(name)
                .paramLabel("FILE")
                .type(Path.class)
                .description(description)
                .build();
    }

    private static OptionSpec.Builder flagOption(String name, String description) {
        return OptionSpec.builder(name).type(boolean.class).description(description);
    }

    /**
     * Prevents the creation of the management bean server, which would take a quarter of the
     * start-up time when XNIO registers its first bean. Kelphoist uses no beans, and XNIO works
     * without the server.
     */
    private static void disableManagementBeans() {
        System.setProperty("javax.management.builder.initial", "io.kelphoist.none");
    }

    private static void configureLogging() {
        String level = System.getenv("LOG_LEVEL");
        level = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        boolean json = "json".equalsIgnoreCase(System.getenv("LOG_FORMAT"));
        // Set explicitly, because there are two providers on the class path and a search is slow.
        System.setProperty(
                "slf4j.provider",
                json
                        ? "ch.qos.logback.classic.spi.LogbackServiceProvider"
                        : "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("kelphoist.log.level", level);
        System.setProperty("org.jboss.logging.provider", "slf4j");
        configureSimpleLogger(level);
    }

    private static void configureSimpleLogger(String level) {
        System.setProperty(
                "org.slf4j.simpleLogger.defaultLogLevel",
                switch (level) {
                    case "error", "debug", "warn", "trace" -> level;
                    default -> "info";
                });
        if (!level.equals("trace")) {
            for (String library :
                    new String[] {"org.xnio", "io.undertow", "org.jboss", "io.micrometer"}) {
                System.setProperty("org.slf4j.simpleLogger.log." + library, "error");
            }
        }
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
    }

    private static int execute(ParseResult parsed) {
        Integer helpExitCode = CommandLine.executeHelpRequest(parsed);
        if (helpExitCode != null) {
            return helpExitCode;
        }
        try {
            if (parsed.hasMatchedOption("--warm-up")) {
                ClassArchiveTraining.run();
                return EXIT_OK;
            }
            return startController(
                    parsed.matchedOptionValue("--config", null),
                    parsed.matchedOptionValue("--operator", null),
                    parsed.matchedOptionValue("--on", List.of()),
                    parsed.hasMatchedOption("--check"));
        } catch (IOException | RuntimeException e) {
            System.err.println("kelphoist: can't start: " + e);
            return EXIT_FAILED;
        }
    }

    private static int startController(
            Path settingsFile, Path operatorFile, List<String> enabledFeatures, boolean checkOnly)
            throws IOException {
        if (settingsFile == null) {
            System.err.println("kelphoist: --config FILE is missing, see --help");
            return EXIT_USAGE;
        }
        PlatformSettings settings;
        OperatorSettings operatorSettings;
        try {
            settings = PlatformSettings.read(settingsFile);
            operatorSettings = readOperatorSettings(operatorFile).withFeatures(enabledFeatures);
        } catch (InvalidSettingsException e) {
            System.err.println("kelphoist: " + e.getMessage());
            return EXIT_USAGE;
        }
        if (checkOnly) {
            System.out.println(describe(settings));
            return EXIT_OK;
        }
        ControllerProcess controller =
                ControllerProcess.start(settings, operatorSettings, STARTED_AT_SECONDS);
        // A leader hands over, streams end with a cursor from which to resume, and pending spans
        // are exported.
        Runtime.getRuntime().addShutdownHook(new Thread(controller::shutDown, "shutdown"));
        return KEEP_RUNNING;
    }

    private static OperatorSettings readOperatorSettings(Path operatorFile)
            throws IOException, InvalidSettingsException {
        return operatorFile == null
                ? OperatorSettings.DEFAULTS
                : OperatorSettings.read(operatorFile);
    }

    private static String describe(PlatformSettings settings) {
        return "settings are fine: "
                + settings.controllerName()
                + " of "
                + settings.controllerCount()
                + " controllers, "
                + settings.teams().size()
                + " teams; state service, now and next: "
                + describe(settings.stateLimits());
    }

    /** Deployment scripts may parse this format, which has not changed since the first version. */
    private static String describe(PlatformSettings.StateLimits limits) {
        return "StateLimits[rps="
                + limits.requestsPerSecond()
                + ", writeRps="
                + limits.writesPerSecond()
                + ", valueKb="
                + limits.maxValueKilobytes()
                + ", txnOps="
                + limits.maxTransactionChanges()
                + "]";
    }
}
