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

  Scenario Outline: a stream of <who> whose first engine <says>
    # Guards against a stream that began at an engine that had come back with
    # other software a moment before its entry said so.
    Given a stream that <who> began at an engine of v1
    When it is to go on, and the first engine <says>
    Then it <goes on>

    Examples: starts
      | who            | says                         | goes on          |
      | this daemon    | tells the start of its entry | goes on          |
      | this daemon    | tells a later start          | may not go on    |
      | this daemon    | does not answer              | goes on          |
      | another daemon | tells a later start          | may not go on    |
      | another daemon | has an entry of v2 by now    | may not go on    |
      | another daemon | has a later entry of v1      | goes on          |

  Scenario: a stream that is taken up is told to others again
    # Guards against a stream that cannot be taken up a second time, as the
    # daemons that knew how it began have ended meanwhile.
    Given a daemon that knows a stream that began at an engine of v1
    When a caller takes the stream up and gets an event
    Then others are told of the stream under the id of its first attempt

  Scenario: a stream goes on at the service that began it
    # Guards against a stream that goes on at another target of its route.
    Given a daemon that knows a stream that began at an engine of v1
    When its route splits traffic, and chance names the other service
    Then the stream goes on at the service that began it

  Scenario: a stream whose service its route no longer names
    # Guards against requests at a service that the route does not lead to.
    Given a daemon that knows a stream that began at an engine of v1
    When its route leads to another service alone
    Then the stream is refused as not run

  Scenario: a silent engine that is the last of its version
    # Guards against a stream that is broken off for a silence, although no
    # other engine could go on with it.
    Given a stream at the only engine of v1 beside engines of v2
    When the engine falls silent
    Then the stream is given time, and less once another engine has v1

  Scenario: streams are told to daemons in all data centres
    # Guards against streams that cannot go on after the loss of a data centre.
    Given 64 daemons that begin streams
    When one of them tells how a stream began
    Then daemons of each data centre are told

  Scenario Outline: a caller does not name its stream, and <what>
    # Guards against streams that are refused although one version alone can have
    # written them, and against streams of two versions, as what the caller asks
    # for does not tell one attempt from another.
    Given a stream of a prompt of its own that began at an engine of v1
    When its caller takes it up, does not name it, and <what>
    Then the unnamed stream <goes on>

    Examples: callers
      | what                                  | goes on    |
      | nothing else has happened             | goes on    |
      | only another daemon knows it          | goes on    |
      | an engine of v2 serves as well        | is refused |
      | an engine of v2 is about to leave     | is refused |
      | it began at another engine too        | is refused |
      | others know that it began elsewhere   | is refused |
      | its engine has come back as v2        | is refused |
      | another prompt is asked for           | is refused |
      | no part of the prompt is its own      | is refused |
      | nobody knows it                       | is refused |
