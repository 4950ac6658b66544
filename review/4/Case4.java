import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All controllers crash after some days in service: does what they had accepted still run? */
final class Case4 extends Case {
    /** Jobs that ended before: 8.1 a minute, as the page of the charger finder says, for 8.6 days. */
    private static final int ENDED_JOBS = 100_000;

    private static final int PER_STEP = 2000;

    public static void main(String[] arguments) throws Exception {
        run(new Case4(), arguments);
    }

    private World.Job job(int number) {
        World.Job job = new World.Job();
        job.id = "job-%06d".formatted(number);
        job.runSeconds = 3;
        return job;
    }

    @Override
    boolean play() throws Exception {
        World.Job first = job(1);
        if (!world.submit(first) || !await(25, () -> isDone(first))) {
            return false;
        }
        // The stored form of an ended job is taken from the service itself.
        JsonNode ended = world.state.value("j/job-000001");
        for (int stored = 0; stored < ENDED_JOBS; ) {
            Map<String, JsonNode> more = new LinkedHashMap<>();
            for (int i = 0; i < PER_STEP; i++) {
                more.put("j/job-%06d".formatted(100_000 + ++stored), ended);
            }
            world.state.store(more);
            World.sleep(250);
        }
        world.log("%d ended jobs are stored, each as %s", world.state.count("j/"), ended);
        World.sleep(2000);
        for (Controller controller : world.controllers) {
            if (!controller.isUp()) {
                world.log("%s is not up before the trouble", controller.label);
                return false;
            }
        }
        List<World.Job> jobs = new ArrayList<>();
        for (int i = 2; i <= 4; i++) {
            World.Job job = job(i);
            if (!world.submit(job)) {
                return false;
            }
            jobs.add(job);
        }
        if (trouble) {
            for (Controller controller : world.controllers) {
                controller.kill();
            }
            World.sleep(6000);
            for (Controller controller : world.controllers) {
                controller.start();
            }
        }
        boolean held =
                await(
                        75,
                        () -> {
                            World.sleep(2500);
                            jobs.forEach(this::isDone);
                            return jobs.stream().allMatch(job -> !Double.isNaN(job.doneToldAt));
                        });
        if (!held) {
            for (World.Job job : jobs) {
                world.violate(
                        "an accepted job must run",
                        "%s was accepted before all nodes failed; 75 s after they are back it is %s,"
                                + " first run at %.1f",
                        job.id,
                        job.lastState,
                        job.firstRunAt);
            }
            world.log("leader key: %s", world.state.value("k/leader"));
            for (Controller controller : world.controllers) {
                world.log("%s: up %s, %s", controller.label, controller.isUp(), errors(controller));
            }
        }
        return true;
    }

    private boolean isDone(World.Job job) {
        if (Double.isNaN(job.doneToldAt)) {
            world.pollOnce(job);
            World.sleep(300);
        }
        return !Double.isNaN(job.doneToldAt);
    }

    private static String errors(Controller controller) {
        try {
            List<String> lines = Files.readAllLines(controller.logFile, StandardCharsets.UTF_8);
            List<String> found =
                    lines.stream().filter(line -> line.contains("OutOfMemoryError")).toList();
            return found.size() + " lines with OutOfMemoryError " + found.stream().findFirst().orElse("");
        } catch (IOException e) {
            return e.toString();
        }
    }
}
