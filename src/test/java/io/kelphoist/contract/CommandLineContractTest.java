package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.cli.Main;
import io.kelphoist.cli.UserCommands;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;

/**
 * The commands and options of both programs. Guards against a change that breaks the scripts of
 * users and operators. The programs' methods that create the command specs are private and are
 * called by reflection: the controller's is found by its return type, that of the users' commands
 * by its name.
 */
class CommandLineContractTest {
    @Test
    void optionsOfTheControllerStayTheSame() throws ReflectiveOperationException {
        // given
        List<Method> factoryMethods =
                Arrays.stream(Main.class.getDeclaredMethods())
                        .filter(
                                method ->
                                        method.getReturnType() == CommandSpec.class
                                                && method.getParameterCount() == 0)
                        .toList();
        assertEquals(
                1,
                factoryMethods.size(),
                () ->
                        "expected one method of Main without parameters that returns a"
                                + " CommandSpec, found "
                                + factoryMethods);
        factoryMethods.get(0).setAccessible(true);
        // when
        CommandSpec spec = (CommandSpec) factoryMethods.get(0).invoke(null);
        // then
        GoldenFiles.assertSameText("names/controller-options.txt", describe(spec));
    }

    @Test
    void commandsAndOptionsOfUsersStayTheSame() throws ReflectiveOperationException {
        // given
        Method factoryMethod =
                UserCommands.class.getDeclaredMethod(
                        "newCommandLine", PrintStream.class, PrintStream.class);
        factoryMethod.setAccessible(true);
        TreeSet<String> commands = new TreeSet<>();
        // when
        CommandLine root = (CommandLine) factoryMethod.invoke(null, System.out, System.err);
        commands.add(describe(root.getCommandSpec()));
        for (CommandLine command : root.getSubcommands().values()) {
            commands.add(describe(command.getCommandSpec()));
        }
        // then
        GoldenFiles.assertSameText("names/user-commands.txt", String.join("", commands));
    }

    private static String describe(CommandSpec spec) {
        StringBuilder text = new StringBuilder("command " + spec.name() + "\n");
        spec.options().stream()
                .map(CommandLineContractTest::describe)
                .sorted()
                .forEach(text::append);
        spec.positionalParameters().stream()
                .map(CommandLineContractTest::describe)
                .forEach(text::append);
        return text.toString();
    }

    private static String describe(OptionSpec option) {
        String names = String.join(", ", Stream.of(option.names()).sorted().toList());
        String value = option.arity().max() == 0 ? "" : " VALUE" + choices(option);
        String required = option.required() ? " required" : "";
        String hidden = option.hidden() ? " hidden" : "";
        String defaultValue =
                option.defaultValue() == null ? "" : " default '" + option.defaultValue() + "'";
        String separator =
                option.splitRegex().isEmpty() ? "" : " separated by '" + option.splitRegex() + "'";
        return "  "
                + names
                + value
                + " arity "
                + option.arity()
                + required
                + hidden
                + defaultValue
                + separator
                + "\n";
    }

    private static String choices(OptionSpec option) {
        Object[] constants = option.type().getEnumConstants();
        return constants == null
                ? ""
                : " of " + Arrays.toString(constants).toLowerCase(Locale.ROOT);
    }

    private static String describe(PositionalParamSpec parameter) {
        return "  parameter " + parameter.index() + " arity " + parameter.arity() + "\n";
    }
}
