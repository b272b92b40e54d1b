Feature: callers take streams up at other daemons, as processes

  Scenario: the daemon that began streams is killed
    # Guards against streams that end with their daemon, or go on at replicas of
    # other software.
    Given three daemons, two engines of v1 and three of v2 as processes
    When streams begin at one daemon, which is killed, and go on at the others
    Then nearly all go on, each at the software version that began it

  Scenario: the replicas of a stream's software version are gone
    # Guards against a caller that waits for a stream that cannot go on.
    Given three daemons, two engines of v1 and three of v2 as processes
    When all engines of v1 leave and callers take their streams up elsewhere
    Then they are told at once that these did not run, and why

  Scenario: nobody knows the stream that a caller takes up
    # Guards against a version that is guessed.
    Given three daemons, two engines of v1 and three of v2 as processes
    When callers take up streams that no daemon began
    Then they are told at once that these did not run, and why

  Scenario: a daemon stands still as replicas of a new version join
    # Guards against streams that go on at another version, as the daemon that
    # takes them up has slept through the release.
    Given three daemons, two engines of v1 and three of v2 as processes
    When one stands still as v2 joins, wakes up, and takes up streams at once
    Then each of them goes on at the version that began it, or did not run

  Scenario: callers do not name the streams that they take up
    # Guards against streams that are refused while one version serves alone, as
    # their callers name no attempt.
    Given three daemons, two engines of v1 and three of v2 as processes
    When callers take streams of v1, the only version, up and do not name them
    Then nearly all go on, each at the software version that began it

  Scenario: callers do not name their streams, and two versions serve
    # Guards against a version that is guessed for a stream without a name.
    Given three daemons, two engines of v1 and three of v2 as processes
    When v2 joins, and callers take streams of v1 up and do not name them
    Then they are told at once that these did not run, and why
