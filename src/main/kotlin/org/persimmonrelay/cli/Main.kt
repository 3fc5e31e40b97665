package org.persimmonrelay.cli

/** Entry point of the executable. */
public fun main(args: Array<String>) {
    println("persimmonrelay ${args.joinToString(" ")}")
}
