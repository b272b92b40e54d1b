Feature: the log tells which software wrote a stream

  Scenario: the line that ends a stream names versions and what it resumes
    # Guards against streams that hold events of two software versions and
    # cannot be told from others in the logs.
    Given a daemon and two engines of one software version on the platform
    When a caller resumes a stream whose engine breaks off
    Then the line that ends it names the version and the resumed attempt

  Scenario: the lines of a stream that was broken off begin with what cut it
    # Guards against a record, cut short, that does not tell a replica's silence
    # from a broken connection, or whether the caller had got events.
    Given a daemon and two engines of one software version on the platform
    When the only attempt of a stream breaks off in its third event
    Then its first fields name a broken connection and two events
