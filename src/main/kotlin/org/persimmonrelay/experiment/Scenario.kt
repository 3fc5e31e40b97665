package org.persimmonrelay.experiment

/** The scenarios of the `experiment` command; [title] is the name on the command line. */
public enum class Scenario(public val title: String, public val summary: String) {
    MIX_SHIFT("mix-shift", "Cascade; the prompt share goes from 20% to 80% of the work within two minutes, and back."),
    STONES("stones", "Trittstein; photos and tender replies change places several times."),
    FLOOD("flood", "Cascade; one workspace sends ten times its usual requests."),
    OVERLOAD("overload", "Cascade; requests for three times the capacity."),
    CRASH("crash", "The mix shift, with engines that crash in the middle of a change of role."),
    DOMAIN_LOSS("domain-loss", "Cascade; the cheap servers of a failure domain vanish within 5 s."),
    NO_CHEAP("no-cheap", "Ten days in which cheap servers can't be had on some of them."),
    DRIFT("drift", "Ten days whose evening peak comes 20 minutes later every day."),
    STALE("stale", "Cascade; load reports are 5 s late and cache events have gaps."),
    REGION_CUT("region-cut", "Cascade; a region can't reach the others for a minute."),
    SCALE("scale", "The cost of decisions before 1,300 servers with 18,000 workspaces."),
    ;

    public companion object {
        /** The scenario with this [title]; null if there is none. */
        public fun named(title: String): Scenario? = entries.firstOrNull { it.title == title }
    }
}
