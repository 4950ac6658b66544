import java.util.ArrayList;
import java.util.List;

/** Trainings that don't fit come several times as often for a while: what becomes of another team's work? */
final class Case7 extends Case {
    private static final double WAIT_SECONDS = 90;
    private static final double TRAINING_LIMIT_GPUS = 120;
    private static final double OTHER_LIMIT_GPUS = 8;

    public static void main(String[] arguments) throws Exception {
        run(new Case7(), arguments);
    }

    @Override
    void prepare() {
        world.limits.put("field-ops", TRAINING_LIMIT_GPUS);
        world.limits.put("mapping", OTHER_LIMIT_GPUS);
    }

    @Override
    int machinesPerZone() {
        return 1;
    }

    private static World.Job job(int number, String kind, String team, String tide) {
        World.Job job = new World.Job();
        job.id = "job-%06d".formatted(number);
        job.kind = kind;
        job.team = team;
        job.tide = tide;
        return job;
    }

    @Override
    boolean play() throws Exception {
        List<World.Job> services = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            World.Job service = job(i, "standing", "mapping", "critical");
            service.ram = 43;
            service.zone = "harbor-dc";
            services.add(service);
            world.launch(service);
        }
        if (!await(15, () -> services.stream().noneMatch(s -> Double.isNaN(s.firstRunAt)))) {
            return false;
        }
        // Each training needs two machines in one zone; the cloud has one in each zone.
        for (int i = 0; i < (trouble ? 9 : 3); i++) {
            World.Job training = job(101 + i, "ensemble", "field-ops", "high");
            training.fronds = 4;
            training.oneZone = true;
            training.cpus = 21;
            training.gpus = 2;
            training.ram = 120;
            training.runSeconds = 80;
            world.launch(training);
            World.sleep(150);
        }
        if (!await(10, () -> world.workers.size() >= 3)) {
            return false;
        }
        World.sleep(1000);
        world.log("no training comes any more: the trouble is over");
        World.Job plain = job(201, "batch", "mapping", "normal");
        plain.cpus = 10;
        plain.ram = 54;
        plain.runSeconds = 5;
        world.launch(plain);
        if (!await(5, () -> !Double.isNaN(plain.acceptedAt))) {
            return false;
        }
        double from = plain.acceptedAt;
        boolean always = true;
        while (Double.isNaN(plain.firstRunAt) && world.now() < from + WAIT_SECONDS) {
            double used = world.usedGpus("mapping");
            int fitting = world.machinesWithRoom(plain);
            if (used + plain.gpus > OTHER_LIMIT_GPUS / 2 || fitting == 0) {
                world.log("excused now: %.0f GPUs used, %d machines with room", used, fitting);
                always = false;
            }
            World.sleep(500);
        }
        if (Double.isNaN(plain.firstRunAt) && always) {
            world.violate(
                    "no job is left waiting for 90 s",
                    "%s needs 1 GPU and has waited for %.0f s; its team uses %.0f GPUs, is guaranteed"
                            + " %.0f and may use %.0f; %d machines have room, %d tasks run on them",
                    plain.id,
                    world.now() - from,
                    world.usedGpus("mapping"),
                    OTHER_LIMIT_GPUS / 2,
                    OTHER_LIMIT_GPUS,
                    world.machinesWithRoom(plain),
                    world.presentCount("mapping") + world.presentCount("field-ops"));
        }
        return always;
    }
}
