Feature: a state is as old as what its source last confirmed

  Scenario Outline: <what> takes <late> ms longer
    # Guards against an age that counts from when an answer arrived.
    Given a state that the store has listed
    When <what> takes <late> ms longer
    Then the state is between <least> and <most> ms old

    Examples:
      | what                          | late | least | most |
      | a watch without a change      | 0    | 0     | 5    |
      | a watch without a change      | 700  | 695   | 705  |
      | a change after a slow watch   | 700  | 695   | 705  |
      | a list                        | 300  | 295   | 305  |
      | an answer of another daemon   | 250  | 245   | 255  |

  Scenario: a source that is stale while its follower reads the store
    # Guards against a follower that stays with a stale source, and asks it again
    # and again, as it knows more by itself.
    Given 6 daemons whose changes must be in force within 2000 ms
    When the store refuses the readers for a while
    Then their followers have left them, and ask them a few times at most

  Scenario: readers that are avoided have substitutes
    # Guards against followers that all read the store, or all try it often.
    When a daemon avoids both readers among 60
    Then the next two in rank read for it, and nobody if it avoids these too

  Scenario: a source that lacks a kind
    # Guards against a daemon that counts as current without knowing all kinds.
    Given 6 daemons whose changes must be in force within 2000 ms
    When a source tells of no state
    Then it counts as silent

  Scenario Outline: changes that must be in force within <bound>
    # Guards against a daemon that asks without a pause, or never, because of a
    # value in its settings file.
    When the settings say that changes must be in force within <bound>
    Then <what>

    Examples:
      | bound | what                                          |
      | 3000  | silent sources are noticed within 900 ms      |
      | none  | silent sources are noticed within 600 ms      |
      | 0     | the settings are refused, and the value named |
      | -5    | the settings are refused, and the value named |
      | .nan  | the settings are refused, and the value named |
      | .inf  | the settings are refused, and the value named |
      | soon  | the settings are refused, and the value named |

  Scenario: a daemon that missed changes gets the last one of each object
    # Guards against needless large objects in an answer, and against memory that
    # grows with each change of an object.
    Given a state in which one object has changed 1,000 times, and two once
    Then a daemon that knows the first of them gets the last of each, in order
    And one that knows all of them gets none
    And one that knows nothing gets all objects
    And 3 changes are kept

  Scenario: an object that changes again behind another one
    # Guards against a change that is left out as its object changed before.
    Given a state in which a first object changes, a second, and the first again
    Then a daemon that knows of the second gets the first

  Scenario: a daemon that is behind more changes than are kept gets all objects
    # Guards against memory that grows with each name that was ever used.
    Given a state that keeps the last change of 3 objects, and 5 have changed
    Then a daemon that knows the first of them gets all objects
    And one that knows all but the last gets that one

  Scenario Outline: an answer that <comes>
    # Guards against a call that never ends, and one that ends while its answer
    # still comes.
    Given an answer that <comes>
    When it is fetched within 100 ms to its head, 200 between parts, 1000 in all
    Then the call <ends> after <ms> ms

    Examples: answers
      | comes                            | ends  | ms   |
      | comes at once                    | is ok | 0    |
      | has no head                      | fails | 100  |
      | stops behind its head            | fails | 250  |
      | stops behind a part              | fails | 350  |
      | comes in parts for 800 ms        | is ok | 850  |
      | comes in parts and does not end  | fails | 1050 |

  Scenario: a packed state that is too large is rejected
    # Guards against a small message that takes all memory.
    When a state is unpacked that has ten times the bytes of a message
    Then it is rejected before all of it is unpacked
