import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** All controllers are away for longer than a lease, just as a job has ended: is it ever called done? */
final class Case4 extends Case {
    private static final String JOB = "job-000001";
    private static final double AWAY_SECONDS = 13;
    private static final double WAIT_SECONDS = 75;

    public static void main(String[] arguments) throws Exception {
        run(new Case4(), arguments);
    }

    @Override
    int machinesPerZone() {
        return 1;
    }

    private static boolean storesEnd(JsonNode transaction) {
        for (JsonNode operation : transaction.path("apply")) {
            if (operation.path("put").asText().equals("j/" + JOB)
                    && operation.path("value").path("status").asText().equals("done")) {
                return true;
            }
        }
        return false;
    }

    @Override
    boolean play() throws Exception {
        World.Job job = new World.Job();
        job.id = JOB;
        job.zone = "harbor-dc";
        job.fronds = 2;
        job.runSeconds = 3;
        World.Job next = new World.Job();
        next.id = "job-000002";
        next.needs = List.of(JOB);
        next.runSeconds = 1;
        AtomicBoolean seen = new AtomicBoolean();
        world.state.sender = controller -> world.controllers.get(controller).isUp();
        world.state.slow =
                transaction -> {
                    if (!storesEnd(transaction) || !seen.compareAndSet(false, true)) {
                        return false;
                    }
                    world.log("a transaction takes 400 ms: %s", transaction);
                    return true;
                };
        if (!world.submit(job) || !world.submit(next) || !await(20, seen::get)) {
            return false;
        }
        // A few hundred milliseconds pass; then all controllers crash.
        World.sleep(330);
        if (trouble) {
            for (Controller controller : world.controllers) {
                controller.process.destroyForcibly();
            }
            world.log("all controllers are killed");
            world.log("stored: %s, page %s", world.state.value("j/" + JOB), world.state.value("p/000000"));
            World.sleep((long) (AWAY_SECONDS * 1000));
            for (Controller controller : world.controllers) {
                controller.start();
            }
        }
        boolean held =
                await(
                        WAIT_SECONDS,
                        () -> {
                            World.sleep(2000);
                            for (World.Job each : List.of(job, next)) {
                                if (Double.isNaN(each.doneToldAt)) {
                                    world.pollOnce(each);
                                }
                            }
                            return !Double.isNaN(next.doneToldAt);
                        });
        world.log("stored: %s, page %s", world.state.value("j/" + JOB), world.state.value("p/000000"));
        if (!held) {
            world.violate(
                    "once all its tasks are done, a job is done",
                    "all tasks of %s (%s of %d) were done before the crash; %.0f s after all controllers"
                            + " are back it is called %s, and %s, which needs it, %s",
                    JOB,
                    job.done,
                    job.fronds,
                    WAIT_SECONDS,
                    job.lastState,
                    next.id,
                    next.lastState);
        }
        return true;
    }
}
