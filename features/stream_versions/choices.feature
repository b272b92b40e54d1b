Feature: deciders choose engines for streams that go on

  Scenario: the decider chooses among the engines of a stream's version
    # Guards against streams that each daemon places by itself, without the
    # decider's knowledge of engines, as its choices have the wrong version.
    Given six daemons and engines of two software versions
    When a daemon asks the decider for engines of v2
    Then the decider chose each of them, and all are of v2

  Scenario: a decider whose list of engines is out of date
    # Guards against a stream that goes on at another version, as the decider
    # knows an older entry of the engine than the daemon that asks.
    Given six daemons and engines of two software versions
    When a daemon asks a decider that takes all engines for v2
    Then all are of v2 by the list of the daemon that asked

  Scenario: an engine whose entry tells no software version
    # Guards against a version that is guessed, as two entries lack one.
    Given a stream that began at an engine whose entry tells no version
    When another engine's entry tells none either
    Then the stream may not go on there

  Scenario: an engine's id comes back with another version
    # Guards against streams that began after the engine had come back, and go
    # on at the version that its old entry told.
    Given a stream that began at an engine of v1
    When the engine's entry tells another start and v2
    Then the stream may not go on at other engines of v1, and others are told
