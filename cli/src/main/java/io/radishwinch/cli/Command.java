package io.radishwinch.cli;

import com.beust.jcommander.ParametersDelegate;

/** A command of the command line with its options. */
abstract class Command {
    @ParametersDelegate
    final CommonOptions common = new CommonOptions();

    /**
     * Runs the command.
     *
     * @throws CliException if the command fails
     */
    abstract ExitCode run(Session session);
}
