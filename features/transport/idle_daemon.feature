Feature: a daemon without work does not use the processor

  Scenario: polls that cannot block are skipped, but not for long
    # Guards against a loop whose callbacks follow one another without an end
    # and that never sees that a connection has become readable.
    Given an event loop's selector with a readable pipe
    When the loop polls 12 times while callbacks are due
    Then at least 2 of the polls report the pipe
    And a poll that may block reports it at once

  Scenario: a log sink without lines does not wake up
    # Guards against timers that wake each of hundreds of daemons many times a
    # second; the wake-ups took more processor time than the requests.
    When a log sink runs for 60 s without lines, and gets one line then
    Then it has not slept before the line
    And the line is written within 150 ms

  Scenario: the watchdog sleeps until the earliest wait has taken too long
    # Guards against the same, in the task that bounds waits on connections.
    When a wait of 4000 ms begins, and one of 600 ms during it
    Then both end within 50 ms of their time
    And the watchdog has woken at most 6 times

  Scenario: the watchdog notices that a wait's limit has been moved closer
    # Guards against an answer without progress that is waited for as long as
    # its first limit allowed.
    When a wait of 4000 ms begins whose limit is moved to 600 ms during it
    Then it ends within 300 ms of its new time

  Scenario: a decider without work is not looked at
    # Guards against a daemon that looks for queues to hand over although it
    # has none, and against work that is never handed over as nobody looks.
    When a decider has no work for 60 s, then some, and then none for 60 s
    Then it counts as active from the work on until 5 s after it

  Scenario: of two entries with one address the older one counts
    # Guards against a result that is counted at a replica that only claims the
    # address of its holder.
    Given a deployment in which two replicas are listed at one address
    Then the address belongs to the older entry
    And to the other one once the older one is removed

  Scenario: replicas that register together are indexed once
    # Guards against a start of hundreds of daemons before thousands of replicas
    # that takes longer than the daemons may be absent: each change was indexed
    # for itself, through all replicas.
    When 3000 replicas arrive as one batch of changes
    Then they are indexed once, and all are usable
    And a batch that removes one and adds another leaves both changes in force

  Scenario: a call that lasts no longer than a batch causes no probe
    # Guards against probes of daemons that answer, which were a third of the
    # requests at a decider.
    When calls of 250 ms to another daemon follow one another for 20 s
    Then the other daemon gets no probe
