Feature: answers that never end

  Scenario Outline: a replica that sends <what> until its caller closes
    # Guards against one replica that takes a daemon's memory and processor.
    Given an endless answer of <what>
    When a stream is attempted at it
    Then the attempt fails as <detail>, and its replica is to blame
    And little of it was read, in little time

    Examples: heads
      | what                  | detail              |
      | zeros                 | no HTTP answer      |
      | blank lines           | over 65536 bytes    |
      | interim answers       | over 65536 bytes    |
      | one header            | over 65536 bytes    |
      | headers               | over 65536 bytes    |

    Examples: bodies
      | what                              | detail                |
      | a stream without a blank line     | an event of over      |
      | a stream of blank lines           | no event in over      |
      | a body without a length           | too long              |
      | one trailer                       | chunk headers or      |
      | trailers                          | chunk headers or      |
      | a chunk extension                 | chunk headers or      |
      | chunks that are mostly extensions | chunk headers or      |
      | a chunk's size                    | chunk headers or      |

  Scenario Outline: a daemon before a replica that sends <what> until it closes
    # Guards against callers who wait as one replica keeps their daemon busy.
    Given an endless answer of <what>
    When 30 requests are made to a daemon with this replica and a sound one
    Then all of them get the sound one's answer within a second each

    Examples: answers
      | what                    |
      | zeros                   |
      | a body without a length |
      | trailers                |

  Scenario Outline: a stage's replica that sends <what> until its caller closes
    # Guards against calls of stages and reports that are kept without a bound.
    Given an endless answer of <what>
    When requests with a stage are made to a daemon with this replica for it
    Then each is answered, and little was read

    Examples: answers
      | what                    |
      | zeros                   |
      | headers                 |
      | a body without a length |

  Scenario: another daemon or the store that answers without end
    # Guards against a call of a daemon that is read until memory runs out.
    Given an endless answer of a body without a length
    When it is called as another daemon
    Then the call fails as over 16777216 bytes

  Scenario: a stream of the own interface without the end of a line
    # Guards against a backend server of the own interface that does the same.
    Given an endless answer of a stream in one line
    When a stage is called there
    Then the call fails as a line of over 1048576 bytes

  Scenario: a stream of the own interface whose events are no objects
    # Guards against an error that the daemon does not expect.
    Given an endless answer of a stream without a blank line
    When a stage is called there
    Then the call fails as not a JSON object

  Scenario: bytes in any pieces are split as at once
    # Guards against a delimiter that is overlooked between two reads.
    When drawn bytes are split in drawn pieces
    Then the parts are those of the whole bytes
