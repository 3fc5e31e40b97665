package org.persimmonrelay.cli

import kotlin.system.exitProcess

/** Entry point of the executable. */
public fun main(args: Array<String>) {
    val code = CommandLine().run(args.toList(), System.out, System.err)
    exitProcess(code)
}
