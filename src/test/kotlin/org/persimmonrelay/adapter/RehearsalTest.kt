package org.persimmonrelay.adapter

import kotlin.test.Test
import kotlin.test.assertEquals

class RehearsalTest {
    @Test
    fun `the node serves all requests of a rehearsal and stops`() {
        assertEquals(5, Rehearsal(requests = 5).run())
    }
}
