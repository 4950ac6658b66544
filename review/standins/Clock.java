/** The steady clock. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static double seconds() {
        return (System.nanoTime() - START) * 1e-9;
    }
}
