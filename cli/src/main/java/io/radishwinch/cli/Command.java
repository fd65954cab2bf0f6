package io.radishwinch.cli;

import com.beust.jcommander.ParametersDelegate;

/** A command with its options. */
abstract class Command {
    @ParametersDelegate
    final CommonOptions common = new CommonOptions();

    /** Runs the command. */
    abstract ExitCode run(Session session);
}
