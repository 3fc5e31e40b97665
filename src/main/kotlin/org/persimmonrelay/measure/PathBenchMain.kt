package org.persimmonrelay.measure

import kotlinx.serialization.json.Json

/** Runs [PathBench] on its own and prints its report as JSON. */
public object PathBenchMain {
    @JvmStatic
    public fun main(args: Array<String>) {
        println(Json { prettyPrint = true }.encodeToString(PathReport.serializer(), PathBench().run()))
    }
}
