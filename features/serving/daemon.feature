Feature: a daemon and its peers keep working under load

  Scenario: log lines of one kind are limited and the dropped ones are counted
    # A replica that fails every request causes one log line for each of them.
    # Writing all of these would cost more than serving the requests.
    Given a log sink on a pipe that is read
    When 3000 lines of one kind come at once, and one more a second later
    Then about 1000 of them are written and the rest is counted

  Scenario: a log reader that stops reading costs lines, and no time
    # If the log collector hangs, the pipe fills up. A daemon that waited for it
    # would stop serving requests.
    Given a log sink on a pipe that is not read
    When 4 MB of lines come
    Then the sink returns at once and buffers a megabyte at most
    And once the pipe is read it reports how many lines were lost

  Scenario: a partitioned daemon shares the retry budget with unreachable ones
    # Such a daemon considers the others dead. If it counted only itself, six
    # partitioned daemons would spend six times the allowed retries.
    Given a daemon that considers five others dead
    Then it still divides the retry budget among all of them

  Scenario: requests stop waiting for a silent decider within a second
    # Guards against requests that wait until their deadline for a decider that
    # is frozen with their pieces in its queue, while its connections stay open.
    Given a daemon that waits for pieces from another daemon
    When the other daemon stops answering probes
    Then the wait ends within 1200 ms and the next decider is used

  Scenario: a queue is handed over when another daemon decides for its service
    # A decider that leaves hands groups that have not started to the next one
    # and finishes those that have.
    Given a decider with one group started and one queued
    When another daemon decides for the service
    Then the queued group is returned and the started one continues

  Scenario: a stream that times out while its events are read loses none
    # When a host freezes for four seconds in the middle of a stream, events are
    # ready to be read as it resumes, and the time-out for them has passed.
    # Guards against events that are counted as forwarded but not written,
    # since the stream then resumes after them at another replica.
    Given a stream of which an event is read after its time-out
    When the attempt is ended by the time-out
    Then all events that count as forwarded were written

  Scenario: a stream that times out as it ends is terminated properly
    # Guards against a stream with all its events that looks truncated.
    Given a stream that has ended at its time-out
    When the attempt is ended by the time-out
    Then the caller's stream is terminated

  Scenario: a stream without a length that times out as it ends is terminated
    # Guards against cutting such a stream while its replica is looked at.
    Given a stream without a length that has ended at its time-out
    When the attempt is ended by the time-out
    Then the caller's stream is terminated
