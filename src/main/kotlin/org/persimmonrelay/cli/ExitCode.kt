package org.persimmonrelay.cli

/** Exit codes of all commands; `ctl` adds its own from 3 on. */
public object ExitCode {
    /** Done, and all that was checked holds. */
    public const val OK: Int = 0

    /** A check failed, or the command could not do its work. */
    public const val FAILED: Int = 1

    /** The command line or the settings are wrong. */
    public const val USAGE: Int = 2
}
