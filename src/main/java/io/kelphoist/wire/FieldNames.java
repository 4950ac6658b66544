package io.kelphoist.wire;

/**
 * Field names in messages to and from users, workers and the cloud. Each constant is named after
 * the field's meaning. Fields whose names already say what they mean have no constant; the codecs
 * use these names directly.
 */
final class FieldNames {
    static final String AGENT_EPOCH = "watch";
    static final String ATTEMPT_ID = "cast";
    static final String CHECKPOINT_INTERVAL_SECONDS = "mooring_s";
    static final String CHECKPOINT_SAVED = "stored";
    static final String CHECKPOINT_SAVE_SECONDS = "stow_s";
    static final String COMMAND = "call";
    static final String COMMANDS = "calls";
    static final String DEADLINE_SECONDS = "landfall_s";
    static final String DEPENDENCIES = "holdfast";
    static final String ESTIMATED_SECONDS = "haul_s";
    static final String EXIT_REASON = "wreck";
    static final String FENCING_TOKEN = "helm";
    static final String GPUS = "accelerators";
    static final String GRACE_SECONDS = "slack_s";
    static final String IMAGE = "spore";
    static final String JOB_CLASS = "catch";
    static final String JOB_KIND = "rig";
    static final String MACHINE = "buoy";
    static final String MACHINES = "buoys";
    static final String MACHINE_TYPE = "hull";
    static final String MACHINE_TYPES = "hulls";
    static final String MEMORY_GB = "ram_gb";
    static final String NAME = "name_id";
    static final String PRIORITY = "tide";
    static final String REDIRECT_TARGET = "harbormaster";
    static final String SCALE_OUT_REQUEST = "charter";
    static final String SEQUENCE_NUMBER = "knot";
    static final String SPOT = "driftwood";
    static final String SPREAD_ACROSS_ZONES = "scatter";
    static final String STATE = "sway";
    static final String TASK = "frond";
    static final String TASKS = "fronds";
    static final String TEAM = "crew";
    static final String TERMINATION_NOTICE_SECONDS = "ebb_s";
    static final String ZONE = "bed";
    static final String ZONES = "beds";

    private FieldNames() {}
}
