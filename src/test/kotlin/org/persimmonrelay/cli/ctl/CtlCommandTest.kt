package org.persimmonrelay.cli.ctl

import org.persimmonrelay.admin.AdminHarness
import org.persimmonrelay.catalog.FixedMembership
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CtlCommandTest {
    private val harness = AdminHarness()
    private val out = ByteArrayOutputStream()
    private val err = ByteArrayOutputStream()

    @AfterTest
    fun stop() = harness.close()

    @Test
    fun `help is printed to standard output and exits with 0`() {
        assertEquals(CtlExit.OK.code, CtlCommand(emptyMap()).run(listOf("--help"), PrintStream(out), PrintStream(err)))
        assertTrue("key withdraw" in out.toString())
        assertEquals("", err.toString())
    }

    @Test
    fun `objects can be applied, listed, labelled, drained and deleted`() {
        val file = Files.createTempFile("apply", ".json")
        file.writeText(
            """[{"kind":"workspace","name":"a","labels":{"tier":"x"}},
            |{"kind":"server","name":"s","address":"127.0.0.1:9","domain":"d","region":"r"}]
            """.trimMargin(),
        )

        val codes = listOf(
            ctl("apply", "-f", file.toString(), "--dry-run"),
            ctl("apply", "-f", file.toString(), "--if-version", "0"),
            ctl("apply", "-f", file.toString()),
            ctl("label", "servers", "s", "rack=1", "old-"),
            ctl("drain", "s"),
            ctl("get", "servers", "-l", "rack in (1, 2)"),
            ctl("get", "workspace", "a", "--json"),
            ctl("delete", "workspaces", "a"),
            ctl("status"),
            ctl("status", "--version", "1"),
        )

        assertEquals(List(codes.size) { 0 }, codes, err.toString())
        assertTrue("Would become version 1" in printed())
        assertTrue("Unchanged: already up to date at version 1" in printed())
        assertTrue("127.0.0.1:9, d, ordinary, draining" in printed())
        assertTrue("0 workspaces" in printed())
    }

    @Test
    fun `a key can be issued only once, and is refused after it is withdrawn`() {
        ctl("key", "issue", "ops")
        val secret = printed().trim()

        assertEquals(0, ctl("status", key = secret))
        assertEquals(0, ctl("key", "withdraw", "ops", "--now"))
        assertEquals(7, ctl("status", key = secret))
        assertEquals(3, ctl("key", "issue", "ops"))
    }

    @Test
    fun `each kind of failure has its exit code`() {
        val codes = listOf(
            ctl("fly") to 2,
            ctl("get", "planets") to 2,
            ctl("apply", "-f", "/does/not/exist") to 2,
            ctl("label", "workspaces", "a", "oops") to 2,
            ctl("get", "workspaces", "none") to 4,
            ctl("delete", "pools", "none") to 4,
            ctl("key", "issue", "Bad Name") to 7,
            ctl("get", "workspaces", "-l", "a in") to 7,
            ctl("drain", "none", "--server", "http://127.0.0.1:1") to 5,
        )

        codes.forEach { (actual, expected) -> assertEquals(expected, actual, err.toString()) }
    }

    @Test
    fun `a conflict and an unavailable table service change nothing`() {
        val file = Files.createTempFile("apply", ".json")
        file.writeText("""{"objects":[{"kind":"workspace","name":"a"}]}""")

        assertEquals(3, ctl("apply", "-f", file.toString(), "--if-version", "7"))
        harness.table.faults.down = true

        assertEquals(5, ctl("apply", "-f", file.toString()))
        assertEquals(0, harness.catalog.state.current.version)
    }

    @Test
    fun `a change that a majority of the nodes has not confirmed is reported`() {
        AdminHarness(FixedMembership("n1", "n2", "n3")).use { isolated ->
            val code = ctl("key", "issue", "ops", "--server", isolated.url)

            assertEquals(6, code)
            assertTrue("a majority of the nodes has not confirmed" in err.toString())
        }
    }

    private fun ctl(vararg args: String, key: String = AdminHarness.BOOTSTRAP_KEY): Int {
        val server = if ("--server" in args) emptyList() else listOf("--server", harness.url)
        return CtlCommand(mapOf("PERSIMMONRELAY_KEY" to key))
            .run(server + args, PrintStream(out), PrintStream(err))
    }

    private fun printed(): String = out.toString()
}
