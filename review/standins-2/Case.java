import java.nio.file.Path;

/** Runs one case: status 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
abstract class Case {
    private static final double LIMIT_SECONDS = 118;

    World world;
    boolean trouble;

    /** Prepares the deployment, before its processes start. */
    void prepare() {}

    /** How many machines of a kind the cloud has in each zone. */
    int machinesPerZone() {
        return 5;
    }

    /** Plays the case; returns false if it couldn't run. */
    abstract boolean play() throws Exception;

    static void run(Case played, String[] arguments) throws Exception {
        played.trouble = !"0".equals(arguments[1]);
        played.world = new World(1, Path.of(arguments[0]));
        int status = 2;
        try {
            World world = played.world;
            world.log("trouble: %s", played.trouble ? "yes" : "no");
            Http.daemon(
                    () -> {
                        world.sleepUntil(LIMIT_SECONDS);
                        world.log("stopped: it took too long");
                        Runtime.getRuntime().halt(closeAnd(world, 2));
                    });
            played.prepare();
            world.open(1.0, played.machinesPerZone());
            if (world.awaitLeader(25) == null) {
                world.log("could not run: no leader");
            } else if (played.play()) {
                status = world.violations.isEmpty() ? 0 : 1;
            }
        } finally {
            played.world.log("status %d", status);
            closeAnd(played.world, status);
        }
        System.out.println(status == 1 ? played.world.violations : "status " + status);
        Runtime.getRuntime().halt(status);
    }

    private static int closeAnd(World world, int status) {
        try {
            world.close();
            world.deleteFolder();
        } catch (Exception e) {
            world.log("clean-up: %s", e);
        }
        return status;
    }

    /** Waits until a condition holds; false if it doesn't in time. */
    boolean await(double seconds, java.util.function.BooleanSupplier condition) {
        double until = world.now() + seconds;
        while (world.now() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            World.sleep(50);
        }
        return condition.getAsBoolean();
    }
}
