package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Options that every command has. */
final class CommonOptions {
    @Parameter(
            names = "--router",
            description = "Router as host:port; can be repeated, routers are tried in order. HTTPS is used,"
                    + " except plain HTTP on loopback unless --trust-file is given.")
    List<String> routers = new ArrayList<>();

    @Parameter(
            names = "--key-file",
            description = "File with the operator's key; without it the variable " + Environment.KEY_VARIABLE
                    + " and then the tool settings are used.")
    String keyFile = "";

    @Parameter(names = "--trust-file", description = "PEM certificates that may sign the routers' certificates.")
    String trustFile = "";

    @Parameter(names = "--config", description = "Tool settings; by default ~/.config/radishwinch/tool.yaml.")
    String config = "";

    @Parameter(names = "--output", description = "Format of the result: text or json.")
    String output = "";

    @Parameter(names = "--help", description = "Show this help.", help = true)
    boolean isHelpRequested;
}
