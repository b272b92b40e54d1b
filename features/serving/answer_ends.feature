Feature: answers that end with their connection

  Scenario Outline: an answer without a length, then a replica that <afterwards>
    # Guards against an answer cut by the end of its replica that looks whole,
    # and against whole answers that are dropped.
    Given a replica that ends its answer with its connection, and then <afterwards>
    When the daemon has read the answer
    Then the answer counts as <outcome>

    Examples: second looks
      | afterwards                                     | outcome |
      | listens                                        | whole   |
      | listens, and is no longer listed               | whole   |
      | is not reached at first                        | whole   |
      | refuses connections                            | broken  |
      | is not reached any more                        | broken  |
      | is reached again only after two seconds        | broken  |
      | listens, as a frozen daemon finds late         | broken  |
      | has its address taken by another replica       | broken  |
      | is listed with a later start                   | broken  |
      | resets connections for 300 ms, as it is full   | whole   |
      | is followed by a process with another start    | broken  |
      | is followed by a process with another name     | broken  |
      | is followed by a process that is silent        | broken  |
      | reports nothing, and is healthy                | whole   |
      | reports nothing, and says that it leaves       | whole   |
      | reports nothing, and another one is healthy    | broken  |
      | reports nothing, and has no name               | broken  |

  Scenario Outline: an answer without a length of a replica that <state>
    # Guards against a health check, a request like any other, to a replica that
    # is to get few requests or none.
    Given a replica that ends its answer with its connection, and then reports nothing, and <state>
    When the daemon has read the answer
    Then the answer counts as broken
    And it was asked for its report alone

    Examples: states
      | state               |
      | is cold             |
      | has asked for rest  |
      | has no health check |

  Scenario Outline: an answer without a length, then a process that <what>
    # Guards against a caller that waits although its answer is known to be cut.
    Given a replica that ends its answer with its connection, and then <what>
    When the daemon has read the answer
    Then the answer counts as broken
    And this is known at once

    Examples: processes
      | what                                        |
      | refuses connections                         |
      | is followed by a process with another start |
      | is followed by a process with another name  |

  Scenario Outline: a replica that is asked who it is, and <what>
    # Guards against a replica's word that is lost as it is asked who it is, and
    # against another one's that is taken for its.
    Given a replica that ends its answer with its connection, and then <what>
    When the daemon has read the answer
    Then the replica <is> known to leave

    Examples: words
      | what                                    | is     |
      | says that it leaves                     | is     |
      | another one, there now, says it leaves  | is not |

  Scenario Outline: a <kind> whose replica crashes, and is started again <how>
    # Guards against a cut answer that looks whole as a supervisor keeps the
    # listening socket of a replica that crashed.
    Given a replica whose listening socket is kept by a supervisor
    When it crashes within a <kind> without a length and starts again <how>
    Then the caller is not told that this is all
    And an answer that its new process ends is whole

    Examples: restarts
      | kind    | how                                  |
      | booking | under another id                     |
      | booking | under another id, with another start |
      | booking | under its id, with another start     |
      | stream  | under another id                     |
      | stream  | under its id, with another start     |

  Scenario Outline: a stream to an HTTP/1.0 caller, and a daemon that <what>
    # Guards against a stream without chunks that looks whole as its daemon's
    # process has ended.
    Given a daemon as a process that streams to a caller of HTTP/1.0
    When that daemon <what> in the middle of the stream
    Then the caller of HTTP/1.0 sees <end>

    Examples: ends of streams
      | what       | end                        |
      | goes on    | all events and an end      |
      | is shot    | a reset connection         |

  Scenario: a list of the store of which nothing but the head came
    # Guards against a cut answer that empties the list of replicas.
    When the store's answer has no length and ends behind its head
    Then the list counts as no answer

  Scenario Outline: an upload that is answered with <what>
    # Guards against a part of an answer, or what is none, that is passed on as one.
    Given a server that answers uploads with <what>
    When 1 MB is uploaded to it directly
    Then there is no answer
    When 1 MB is uploaded to it through another daemon
    Then there is no answer
    When 1 MB is uploaded to a daemon before it
    Then the caller gets a failure, and nothing of the answer

    Examples: answers
      | what                                       |
      | a part of its answer at once and resets    |
      | a part of its answer at once and closes    |
      | the status 000                             |
      | the status 099                             |
      | the status 600                             |
      | the status 999                             |
      | the status 000 before a sound answer       |
      | the status 20                              |
      | the status 2000                            |
      | half of its status line                    |
      | its status line alone                      |
      | half of a header                           |
      | its head without the empty line            |
      | its head but for the last byte             |
      | the same, a byte at a time                 |
      | half of its head and resets                |
      | two heads, the second cut                  |

  Scenario Outline: a connection that <breaks>, behind a part of an answer
    # Guards against an error of a write that is lost, so that the end of the
    # connection passes for the end of an answer without a length.
    Given a connection that <breaks>, behind a part of an answer
    When 1 MB is sent by it
    Then the answer with a length is whole, and the one without is broken

    Examples: ends
      | breaks                          |
      | breaks while the upload is sent |
      | was ended and reset before      |
      | breaks and ends in one turn     |
