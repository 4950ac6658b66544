package io.kelphoist.daemon;

import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.Settings;
import io.kelphoist.core.Cluster;
import io.kelphoist.core.Command;
import io.kelphoist.core.Effects;
import io.kelphoist.core.JobRecord;
import io.kelphoist.core.JobStatus;
import io.kelphoist.core.Machine;
import io.kelphoist.core.MachineReport;
import io.kelphoist.core.MachineType;
import io.kelphoist.core.Placement;
import io.kelphoist.core.Rental;
import io.kelphoist.core.Resources;
import io.kelphoist.core.TaskPhase;
import io.kelphoist.core.TaskProgress;
import io.kelphoist.core.TaskReport;
import io.kelphoist.state.Keys;
import io.kelphoist.state.Records;
import io.kelphoist.wire.BadMessage;
import io.kelphoist.wire.Cbor;
import io.kelphoist.wire.Codec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs a controller for a moment, on loopback and with itself in place of the outside systems, so that the build can
 * archive the classes that a start needs.
 */
final class WarmUp {
    private static final String JOB = """
            {"name_id":"job-1","catch":"c","crew":"t","rig":"%s","tide":"normal","fronds":2,"cpus":1.0,"accelerators":1.0,"ram_gb":1.0,
             "spore":"i","image_gb":1.0,"hulls":["m"],"bed":null,"same_place":false,"scatter":false,"driftwood":true,
             "haul_s":1.0,"mooring_s":1.0,"stow_s":1.0,"landfall_s":9.0}""";

    private WarmUp() { }

    static void run() throws IOException {
        try {
            core();
            serve();
        } catch (BadMessage | Settings.Invalid | InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static Settings settings() throws IOException, Settings.Invalid {
        String own = "127.0.0.1:" + freePort();
        String peer = "127.0.0.1:" + freePort();
        String json = """
                {"label":"a","site":"z","serve_on":"%s","peer_listen":"%s","known":[{"label":"b","site":"z","peer_addr":"%s"}],
                 "external":{"cloud":"%s","state":"%s"},
                 "cluster":{"zones":["z"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":8}],
                 "workers":{"report_s":1,"lease_s":9,"gang_wait_s":9,"gang_peer_s":9,"cancel_s":9},
                 "state":{"rps":100,"write_rps":100,"value_kb":4,"txn_ops":8},"cloud":{"rps":5,"list_lag_s":4}}}"""
                .formatted(own, peer, peer, own, own);
        Path file = Files.createTempFile("kelphoist", ".json");
        try {
            Files.writeString(file, json);
            return Settings.read(file);
        } finally {
            Files.delete(file);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private static void serve() throws IOException, Settings.Invalid, InterruptedException {
        Daemon daemon = Daemon.start(settings(), OperatorSettings.DEFAULT, System.nanoTime() * 1e-9);
        Thread.sleep(1500);
        daemon.stop();
    }

    private static void core() throws BadMessage, IOException, Settings.Invalid {
        MachineType type = new MachineType("m", new Resources(8, 8, 8), 10, 1, 1, 1, 1, List.of("z"));
        Cluster cluster = new Cluster(OperatorSettings.DEFAULT.policy(settings()), new Silent(), 1,
                Codec.types(Cbor.decode(Cbor.encode(Codec.types(List.of(type))))), 0);
        int n = 0;
        for (String kind : List.of("batch", "ensemble", "standing")) {
            var spec = Codec.job(Cbor.decodeJson(JOB.formatted(kind).replace("job-1", "job-" + ++n).getBytes()));
            var stored = Cbor.decode(Cbor.encode(Records.job(spec, 1)));
            JobRecord record = Records.job(Keys.job(spec.id()), stored, n);
            cluster.onJob(record, 0, 0);
        }
        cluster.tick(1);
        cluster.onRented(new Rental("r", "m", "z", false, 1), List.of("vm-1"), false, 1);
        MachineReport report = new MachineReport("vm-1", "127.0.0.1:1", "m", "z", false, 1, 1, 1, null, List.of());
        cluster.onReport(report, 2);
        cluster.tick(3);
        cluster.onStartsStored(0, true);
        cluster.tick(3);
        for (Command c : cluster.onReport(new MachineReport("vm-1", "127.0.0.1:1", "m", "z", false, 1, 2, 1, null, List.of()), 4)) {
            Cbor.encode(Codec.answer(1, List.of(c)));
            cluster.onReport(new MachineReport("vm-1", "127.0.0.1:1", "m", "z", false, 1, 3 + c.task(), 1, 9.0,
                    List.of(new TaskReport(c.job(), c.task(), c.attempt(), TaskPhase.RUNNING, null, false))), 5);
        }
        cluster.onJob(new JobRecord("job-1", null, JobStatus.CANCELLED, 0, 99), 0, 6);
        cluster.tick(7);
    }

    /** Effects that go nowhere. */
    private static final class Silent implements Effects {
        @Override
        public void orders(Machine machine, long session, List<Command> commands) { }

        @Override
        public void storeProgress(int page, List<TaskProgress> progress) { }

        @Override
        public void storeDone(String job, long version) { }

        @Override
        public void storeStarts(int page, List<Placement> starts) { }

        @Override
        public void storeImages(int page, List<Machine> machines) { }

        @Override
        public void rent(Rental rental) { }

        @Override
        public void giveBack(List<String> machines) { }
    }
}
