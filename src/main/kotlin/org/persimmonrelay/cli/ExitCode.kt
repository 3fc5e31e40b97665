package org.persimmonrelay.cli

/** Exit codes of all commands; `ctl` also uses codes of its own from 3 on. */
public object ExitCode {
    /** The command succeeded, and all checks passed. */
    public const val OK: Int = 0

    /** A check failed, or the command could not be completed. */
    public const val FAILED: Int = 1

    /** The command line or the settings are invalid. */
    public const val USAGE: Int = 2
}
