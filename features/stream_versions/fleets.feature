Feature: daemons know how the streams of others began

  Scenario Outline: <count> daemons, of which <what>
    # Guards against streams that cannot be taken up, or go on at any version, as
    # only the daemon that began them knew their software version.
    Given <count> daemons that begin streams
    When of these <what>
    Then most of the streams are known elsewhere, and none with another version

    Examples: fleets
      | count | what                     |
      | 6     | half end at once         |
      | 64    | half end at once         |
      | 195   | half end at once         |
      | 348   | half end at once         |
      | 64    | a data centre ends       |
      | 195   | many restart in turn     |
      | 6     | two are cut off and end  |
      | 64    | ten are cut off and end  |
      | 64    | ten were cut off a while |

  Scenario: the incarnation that began a stream is told, and found again
    # Guards against a stream that is taken up elsewhere and goes on at a version
    # that a late entry named, as nobody there can ask who began it.
    Given 64 daemons that begin streams
    When one tells of a stream and the incarnation that began it, and ends
    Then those that are told, and those that ask them, know the incarnation

  Scenario: what the store holds of streams can be read by all daemons
    # Guards against one unreadable object that hides how all streams began.
    Given a store in which two daemons save how streams began
    When an object that cannot be read is beside theirs
    Then a third daemon reads both, and nothing else

  Scenario: one daemon that has ended makes no other one save its streams
    # Guards against writes to the store whenever a single daemon ends.
    Given 6 daemons that begin streams
    When one is without power and the others take it for alive
    Then none of them saves anything in the store

  Scenario: a store that does not answer holds no caller up
    # Guards against callers that wait for one another as the store is away.
    Given a daemon whose store does not answer
    When twenty callers take up streams that nobody knows
    Then all of them are told within a second

  Scenario: the origin of a stream that two daemons know differently is unknown
    # Guards against a version that is guessed where two daemons disagree.
    Given what a daemon remembers of a stream of version v1
    When it is told that the stream began with version v2
    Then the stream's version is not known

  Scenario: what daemons remember of streams is bounded in time and number
    # Guards against memory that grows with each stream.
    Given what a daemon remembers of a stream of version v1
    When it remembers many more, and a minute passes
    Then it remembers none of them

  Scenario: daemons that are asked for an unnamed stream know it differently
    # Guards against the answer that comes first, where several streams have one
    # name and only a daemon that answers late knows the other one.
    Given 64 daemons that begin streams
    When a near daemon knows one engine for a name, and a far one another
    Then the daemon that asks both knows of no version, even if told of one
